#!/usr/bin/env bash
# Checks the exit codes for refused requests, usage errors and an unreachable entry.
set -euo pipefail
cd "$(dirname "$0")"
. ./lib.sh
expect() {
  local wanted=$1 got=0
  shift
  "$@" || got=$?
  echo "exit code $got"
  [ "$got" = "$wanted" ]
}
expect 1 member submit --kind unheard-of --task "x"
expect 1 member status
expect 2 member submit
expect 4 "$IBISWALL" status --entry 127.0.0.1:1 --token "$OPERATOR_TOKEN"
