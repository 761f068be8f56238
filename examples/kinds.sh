#!/usr/bin/env bash
# Sets the value and deadline of each kind of request, and the weight and quota of a member. Under overload, the least
# valuable requests are refused first.
set -euo pipefail
cd "$(dirname "$0")"
. ./lib.sh
change "alerts come first" --op set-kind --name glue-alert --value 100 --deadline-ms 5000
change "reminders come last" --op set-kind --name reminder --value 1 --deadline-ms 60000 --repeatable
change "share of the studio" --op set-member --name studio --weight 2 --quota 5000
