#!/usr/bin/env bash
# Runs one script: review/run-case.sh CLASS FOLDER [TROUBLE], without the disruption if TROUBLE is 0.
# Exits with 1 if the rule was broken, 0 if it held, 2 otherwise.
set -uo pipefail
cd "$(dirname "$0")/.."
. ./src/scripts/find-jdk.sh
exec timeout --signal=TERM --kill-after=5 115 \
  "$JAVA_HOME/bin/java" -Xmx256m -cp "target/review:target/lib/*" "review.$1" "$2" "${3:-${TROUBLE:-1}}"
