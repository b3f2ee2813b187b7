#!/bin/sh
# Builds the stand-ins of the cases' scripts. The deploy file's build comes first.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/_harness
