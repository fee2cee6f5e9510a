#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, after ./deploy/build.sh, whose libraries they use. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
. ./src/scripts/find-jdk.sh
mkdir -p target/review
"$JAVA_HOME/bin/javac" --release 21 -d target/review -cp 'target/lib/*' review/*.java
