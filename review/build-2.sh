#!/bin/bash
# Builds the stand-ins of the second review with the Rust toolchain alone, into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/[0-9]*/case-2.rs; do
    number=$(basename "$(dirname "$case")")
    rustc --edition 2021 -O -A warnings -o "target/review-2/case-$number" "$case"
done
