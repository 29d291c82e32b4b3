#!/bin/sh
# Builds the stand-ins of the scripts. They use the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -D warnings -o target/review/standins review/standins.rs
