#!/usr/bin/env bash
# Builds the program of an entry host under target/: its libraries, a runtime with the modules they need, and a class
# data archive that shortens the start.
set -euo pipefail
cd "$(dirname "$0")/.."
. ./src/scripts/find-jdk.sh
./build --quiet -DskipTests -Dspotless.check.skip -Dcheckstyle.skip -pl platform -am package
mkdir -p target
rm -rf target/lib target/runtime target/basilswitch.jsa
cp -r platform/target/lib target/lib
cp platform/target/basilswitch-platform-*.jar target/lib/
"$JAVA_HOME/bin/jlink" --output target/runtime --strip-debug --no-header-files --no-man-pages \
  --add-modules java.base,java.logging,java.xml,java.management,java.naming,java.desktop,java.sql,jdk.unsupported
target/runtime/bin/java -Xshare:dump >/dev/null
