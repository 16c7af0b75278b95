#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, with the compiler of the project and no library but its own.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.rs; do
    case=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O -o "target/review/case-$case" "$source"
done
