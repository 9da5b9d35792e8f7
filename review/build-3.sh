#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. They use the standard
# library alone. The program itself is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -C opt-level=2 -o target/review-3/stand-ins review/stand-ins-3/main.rs
