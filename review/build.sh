#!/usr/bin/env bash
# Compiles the stand-ins of all scripts to target/review. Needs the JDK of the build only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -encoding UTF-8 -d target/review review/standin/*.java
