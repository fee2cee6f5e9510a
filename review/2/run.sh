#!/usr/bin/env bash
# An occurrence of a scheduled job never runs.
exec "$(dirname "$0")/../run-case.sh" OccurrenceForgotten "$(cd "$(dirname "$0")" && pwd)"
