#!/bin/sh
# A core machine is replaced as planned, the new one first; one second after the old one has stopped
# two others lose their disks. Exit 1: the acknowledged configuration does not come any more; 0: it
# does; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-harness ] && [ -x target/landingtrail-node ] || exit 2
RECORD=review/1/record.txt exec target/review-harness planned
