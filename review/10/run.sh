#!/usr/bin/env bash
# Runs the case after `cargo build --release --locked` and review/build-2.sh. Exits with 1 if the
# rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/jacinthhinge ] && [ -x target/review-2/stand-ins-2 ] || exit 2
timeout --kill-after=5 110 target/review-2/stand-ins-2 port-used-again review/10/record.txt
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
