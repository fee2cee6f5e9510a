#!/usr/bin/env bash
# Builds the stand-ins and cases of review/third into target/review-3, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
. ./src/scripts/find-jdk.sh
rm -rf target/review-3
mkdir -p target/review-3
"$JAVA_HOME/bin/javac" -d target/review-3 -cp "$(printf '%s:' target/lib/jackson-*.jar)" review/third/*.java
