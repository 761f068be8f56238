#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the cases from 11 on into target/review-3, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/parts-3 -B target/review-3 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-3 -j4
