#!/usr/bin/env bash
# Builds the stand-ins of the cases of the third review, after the build of the deploy file. Needs rustc alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standin-3 review/standin-3/main.rs
