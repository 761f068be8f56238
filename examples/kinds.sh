#!/usr/bin/env bash
# Says how requests of each kind are treated: under load, the least valuable are refused first.
set -euo pipefail
cd "$(dirname "$0")"
. ./lib.sh
change "alerts come first" --op set-kind --name glue-alert --value 100 --deadline-ms 5000
change "reminders come last" --op set-kind --name reminder --value 1 --deadline-ms 60000 --repeatable
change "share of the studio" --op set-member --name studio --weight 2 --quota 5000
