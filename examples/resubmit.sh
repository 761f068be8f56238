#!/usr/bin/env bash
# Submits a job to one entry and resubmits it with the same id to another entry, as a caller does that lost the answer.
set -euo pipefail
cd "$(dirname "$0")"
. ./lib.sh
first=$(member submit --file care-notes.job.json --json)
id=$(field id <<<"$first")
second=$("$IBISWALL" submit --entry "$OTHER_ENTRY" --token "$MEMBER_TOKEN" --id "$id" --file care-notes.job.json --json)
[ "$first" = "$second" ] && echo "job $id: the second answer equals the first"
