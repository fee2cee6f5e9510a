#!/usr/bin/env bash
# Runs a case of review/third: run-case-3.sh CASE FOLDER TROUBLE, where TROUBLE is 0 to leave the
# disruption out. RECORD names another file for the record.
set -uo pipefail
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.." || exit 2
. ./src/scripts/find-jdk.sh
[ -d target/review-3 ] || { echo "run review/build-3.sh first" >&2; exit 2; }
exec "$JAVA_HOME/bin/java" -Xmx256m -cp "target/review-3:$(printf '%s:' target/lib/jackson-*.jar)" \
  -Djdk.httpclient.allowRestrictedHeaders=host -Dsun.net.httpserver.nodelay=true \
  -Dsun.net.httpserver.idleInterval=300 third.Case "$1" "${RECORD:-$folder/record.txt}" "${3:-1}"
