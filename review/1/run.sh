#!/usr/bin/env bash
# Plays the case. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
"build-review/case_$(basename "$folder")" "$folder/record.txt"
result=$?
[ "$result" -le 1 ] && exit "$result"
exit 2
