#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption. Needs the build of the deploy file and
# review/build.sh.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/rudderd ] || [ ! -x review/bin/case4 ]; then
  echo "build first" >&2
  exit 2
fi
timeout -k 5 110 review/bin/case4
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
