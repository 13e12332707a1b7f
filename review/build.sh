#!/usr/bin/env bash
# Builds the stand-ins of the scripts in this folder: one program without dependencies, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O review/standins/main.rs -o target/review/standins
