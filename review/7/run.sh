#!/usr/bin/env bash
# An idle worker crashes and is back under its id; jobs come before its heartbeat. Exits with 1 if a task runs twice.
cd "$(dirname "$0")/../.." || exit 2
# With TROUBLE=0 the driver leaves out the disruption.
export TROUBLE="${TROUBLE:-1}"
exec build-review-2/reborn review/7/record.txt
