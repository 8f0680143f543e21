#!/bin/sh
# Builds the programs of the cases 6 to 10, stand-ins included, and the trials of faults that have no case. Needs the
# Rust compiler alone, and no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    rustc --edition 2021 -O -o "target/review-2/case-$number" "review/$number/case.rs"
done
for trial in out_of_service dropped_class late_connections restart_value silent_watches; do
    program=target/review-2/$(echo "$trial" | tr _ -)
    rustc --edition 2021 -O -o "$program" "review/stand-ins-2/$trial.rs"
done
