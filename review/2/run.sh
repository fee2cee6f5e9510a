#!/usr/bin/env bash
# An occurrence of a scheduled job never runs. With TROUBLE=0 without the disruption.
exec "$(dirname "$0")/../run-case.sh" OccurrenceForgotten "$(cd "$(dirname "$0")" && pwd)" "${TROUBLE:-1}"
