#!/usr/bin/env bash
# A job that has ended runs again. With TROUBLE=0 without the disruption.
exec "$(dirname "$0")/../run-case.sh" EndedJobRunsAgain "$(cd "$(dirname "$0")" && pwd)" "${TROUBLE:-1}"
