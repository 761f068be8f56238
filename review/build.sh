#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into build-review/. The programs under test come from the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B build-review -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build-review -j4
