#!/bin/sh
# Compiles the stand-ins of the cases of the second review. Run in the root of the repository, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/standin-2/*.java
