#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the crashes and the cuts.
cd "$(dirname "$0")/../.." || exit 2
. ./src/scripts/find-jdk.sh || exit 2
exec "$JAVA_HOME/bin/java" -Dsun.net.httpserver.nodelay=true -Dsun.net.httpserver.maxIdleConnections=2000 \
  -Dsun.net.httpserver.idleInterval=300 -cp 'review/second/target:target/lib/*' \
  second.SecondLife review/7/record.txt "${TROUBLE:-1}"
