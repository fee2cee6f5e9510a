#!/usr/bin/env bash
# A job fails after one failed run, though three attempts are allowed.
exec "$(dirname "$0")/../run-case.sh" RouteBackAfterFailure "$(cd "$(dirname "$0")" && pwd)"
