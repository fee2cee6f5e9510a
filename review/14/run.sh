#!/usr/bin/env bash
# Case 14 of the review; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
trouble=${TROUBLE:-1}
exec "$folder/../run-case-3.sh" withdrawn-key "$folder" "$trouble"
