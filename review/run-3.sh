#!/bin/sh
# Runs review case $1 for 118 seconds at most: 1 if the rule was broken, 0 if
# it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/.." || exit 2
program=build-review-3/case-$1
if [ ! -x "$program" ] || [ ! -x target/apps/auburnmuxd/auburnmuxd ]; then
  echo "build the deploy file and run review/build-3.sh first" >&2
  exit 2
fi
CASE_TEMP=$(mktemp -d) || exit 2
export CASE_TEMP
trap 'rm -rf "$CASE_TEMP"' EXIT
timeout -k 2 115 "$program" "review/$1"
status=$?
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
