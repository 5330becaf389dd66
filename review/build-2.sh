#!/usr/bin/env bash
# Builds the programs that the scripts of the second review start, stand-ins included.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/_src2/leave ./review/_src2/silence
