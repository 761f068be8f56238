#!/usr/bin/env bash
# Lists all configuration changes with their author, time and reason.
set -euo pipefail
cd "$(dirname "$0")"
. ./lib.sh
operator audit --after 0
