#!/bin/sh
# While two versions of a service run, all core processes and one edge process are killed at once; the
# callers take up their streams when the machines are in touch again. Exit 1: fewer than half as
# many go on as new ones begin; 0: they go on; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-harness ] && [ -x target/landingtrail-node ] || exit 2
RECORD=review/4/record.txt exec target/review-harness takeup
