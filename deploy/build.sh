#!/usr/bin/env bash
# Builds the entry host program under target/: its libraries, a Java runtime with the modules that they need, and a
# class data sharing (CDS) archive, which shortens the start and lets processes share memory.
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
{
  printf '%s\n' -Xmx160m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xshare:auto \
    -XX:SharedArchiveFile=target/basilswitch.jsa $QUIET_OPTIONS
  printf -- '-cp %s\n' "$(printf '%s\n' target/lib/*.jar | sort | paste -sd:)"
} > target/java.options
grep -v SharedArchiveFile target/java.options > target/training.options
target/runtime/bin/java @target/training.options -Xshare:dump >/dev/null
# The archive contains the classes that a training run on loopback loads.
BASILSWITCH_SETTINGS=deploy/training.conf
export BASILSWITCH_SETTINGS
target/runtime/bin/java -XX:ArchiveClassesAtExit=target/basilswitch.jsa @target/training.options \
  org.basilswitch.platform.PlatformMain > target/training.log 2>&1 &
training=$!
for _ in $(seq 300); do
  ! grep -q ENTRY_HOST_STARTED target/training.log || break
  sleep 0.1
done
sleep 1
kill -TERM "$training" || echo "build: training run ended early, see target/training.log" >&2
wait "$training" || true
# The program also runs without the archive but starts more slowly.
[ -s target/basilswitch.jsa ] || echo "build: class data sharing archive was not written, see target/training.log" >&2
