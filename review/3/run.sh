#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# It writes what was sent, answered and run to record.txt in this folder, and takes 120 s at most.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
export RECORD="$folder/record.txt" TROUBLE="${TROUBLE:-1}"
cd "$folder/../.." || exit 2
program=target/review/case-$(basename "$folder")
[ -x "$program" ] && [ -x target/release/pipittack ] || { echo "not built"; exit 2; }
timeout -k 2 118 "$program"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
