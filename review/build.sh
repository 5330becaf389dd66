#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases into review/bin/. The directory review/_src
# begins with an underscore, so that ./... does not include it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for dir in review/_src/case*/; do
  go build -o "review/bin/$(basename "$dir")" "./$dir"
done
