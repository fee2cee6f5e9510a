#!/usr/bin/env bash
# Runs entry hosts as separate processes and injects random faults (class PlatformSoak).
# Usage: platform-soak.sh [first seed] [number of seeds] [seconds of faults per seed]; defaults 1, 1 and 30.
set -euo pipefail
cd "$(dirname "$0")/../.."
. ./src/scripts/find-jdk.sh
./build --quiet -DskipTests -Dspotless.check.skip -Dcheckstyle.skip -pl platform -am test-compile
./build --quiet -pl platform -am -Dspotless.check.skip -Dcheckstyle.skip -DskipTests \
  -Dmdep.outputFile=target/test.classpath -DincludeScope=test package dependency:build-classpath
exec "$JAVA_HOME/bin/java" -Xmx512m -cp "platform/target/test-classes:platform/target/classes:$(cat platform/target/test.classpath)" \
  org.basilswitch.platform.standin.PlatformSoak "${1:-1}" "${2:-1}" "${3:-30}"
