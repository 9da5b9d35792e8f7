#!/usr/bin/env bash
# Plays the case once; TROUBLE=0 keeps the endpoint. Exit status: 1 broken, 0 held, 2 not run.
set -u
cd "$(dirname "$0")/../.."
[ -x target/release/jacinthhinge ] && [ -x target/review/standin ] || { echo "not built" >&2; exit 2; }
RECORD=review/1/record.txt exec target/review/standin leaving
