#!/usr/bin/env bash
# Builds the stand-ins and drivers of cases 6 to 10. The project's programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/parts-2 -B build-review-2
cmake --build build-review-2 -j8
