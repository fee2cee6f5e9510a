#!/usr/bin/env bash
# A work item that lasts is not restarted after it has ended as done. With TROUBLE=0 without the disruption.
exec "$(dirname "$0")/../run-case.sh" LastingWorkEndsDone "$(cd "$(dirname "$0")" && pwd)" "${TROUBLE:-1}"
