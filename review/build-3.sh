#!/bin/sh
# Builds the stand-ins of the cases 13 to 16, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc -O --edition 2024 -o target/review-3/cases review/standins-3/main.rs
