#!/usr/bin/env bash
# Builds the stand-ins that the cases start; needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/src/review/*.java
