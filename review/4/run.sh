#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rudderd ] && [ -x review/bin/case4 ] || { echo "build first" >&2; exit 2; }
exec timeout -k 2 110 review/bin/case4
