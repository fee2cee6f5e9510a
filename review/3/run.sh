#!/usr/bin/env bash
# A job is said to be rejected, and runs.
exec "$(dirname "$0")/../run-case.sh" RefusedButStored "$(cd "$(dirname "$0")" && pwd)"
