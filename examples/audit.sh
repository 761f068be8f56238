#!/usr/bin/env bash
# Reads who changed what, when and why.
set -euo pipefail
cd "$(dirname "$0")"
. ./lib.sh
operator audit --after 0
