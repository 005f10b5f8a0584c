#!/usr/bin/env bash
# Builds the stand-ins of the cases; needs only the JDK and, for case 1, the built jar's libraries.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review -cp target/baygw.jar review/src/review/*.java
