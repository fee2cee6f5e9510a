#!/usr/bin/env bash
# A job that has ended runs again.
exec "$(dirname "$0")/../run-case.sh" EndedJobRunsAgain "$(cd "$(dirname "$0")" && pwd)"
