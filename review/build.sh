#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O review/standin/main.rs -o target/review/standin
