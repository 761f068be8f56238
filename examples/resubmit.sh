#!/usr/bin/env bash
# Submits a job to one entry and, as a caller that lost the answer would, again to the other.
set -euo pipefail
cd "$(dirname "$0")"
. ./lib.sh
first=$(member submit --file care-notes.job.json --json)
id=$(field id <<<"$first")
again=$("$IBISWALL" submit --entry "$OTHER_ENTRY" --token "$MEMBER_TOKEN" --id "$id" --file care-notes.job.json --json)
[ "$first" = "$again" ] && echo "job $id: the second answer is the first one"
