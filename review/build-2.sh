#!/bin/sh
# Builds the programs of the cases 6 to 10, stand-ins included. Needs the Rust compiler alone, and no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    rustc --edition 2021 -O -o "target/review-2/case-$number" "review/$number/case.rs"
done
rustc --edition 2021 -O -o target/review-2/out-of-service review/stand-ins-2/out_of_service.rs
