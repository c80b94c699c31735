#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review
