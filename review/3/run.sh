#!/usr/bin/env bash
# A job is said to be rejected, and runs. With TROUBLE=0 without the disruption.
exec "$(dirname "$0")/../run-case.sh" RefusedButStored "$(cd "$(dirname "$0")" && pwd)" "${TROUBLE:-1}"
