#!/usr/bin/env bash
# A job fails after one failed run, though three attempts are allowed. With TROUBLE=0 without the disruption.
exec "$(dirname "$0")/../run-case.sh" RouteBackAfterFailure "$(cd "$(dirname "$0")" && pwd)" "${TROUBLE:-1}"
