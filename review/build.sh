#!/bin/sh
# Builds the stand-ins of the scripts with the compiler alone: no package is needed.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -C opt-level=2 -o target/review/case review/standins/main.rs
