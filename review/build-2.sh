#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/ (4 to 8) start. Needs the compiler and its standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/case review/stand-ins-2/main.rs
