#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-5 ] && [ -x target/release/crocushold ] || exit 2
RECORD=review/5/record.txt exec timeout -s KILL 110 target/review/case-5
