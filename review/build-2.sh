#!/bin/bash
# Builds the stand-ins of the second review, with the compiler alone and no dependency.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/standins-2/main.rs -o target/review-2/cases
