#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review; the build of the deploy file has to run before.
set -euo pipefail
cd "$(dirname "$0")/.."
. ./src/scripts/find-jdk.sh
rm -rf review/second/target
mkdir -p review/second/target
"$JAVA_HOME/bin/javac" -cp 'target/lib/*' -d review/second/target review/second/*.java
