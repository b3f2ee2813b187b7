#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10, after the deploy file's build. It needs
# no network: the stand-ins use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/rig ./review/_rig2
