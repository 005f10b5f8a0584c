#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into target/review-2. Needs a JDK 17 alone; run
# it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/src-2/*.java
