#!/usr/bin/env bash
# Takes a failure domain out of service, submits a job during the outage, and returns the failure domain to service.
set -euo pipefail
cd "$(dirname "$0")"
. ./lib.sh
change "storm warning" --op domain-out --name fd-2
operator status
member submit --file care-notes.job.json
change "storm has passed" --op domain-in --name fd-2
