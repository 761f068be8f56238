#!/usr/bin/env bash
# Submits a job from a file and a job from standard input.
set -euo pipefail
cd "$(dirname "$0")"
. ./lib.sh
member submit --file care-notes.job.json
echo '{"kind":"care-note","tasks":["Dora: come back in two weeks"]}' | member submit --file - --json
