#!/bin/sh
# Builds the stand-ins of the scripts of the second review, with the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases-2 review/cases-2.rs
