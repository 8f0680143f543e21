#!/usr/bin/env bash
# Builds the stand-ins and the clients of all cases with the installed compiler, without a package.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]*/; do
    number=$(basename "$case")
    rustc --edition 2021 -O -o "target/review/case-$number" "review/$number/case.rs"
done
