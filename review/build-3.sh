#!/usr/bin/env bash
# Builds the stand-ins of the cases 9 to 13, the project's own among them, into
# build/review-3. Run it after the build of the deploy file; it needs the same
# packages and those of Utilities/install-dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build/review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DCMAKE_PROJECT_rhubarbhaven_INCLUDE="$PWD/review/stand_ins_3/add.cmake" >/dev/null
cmake --build build/review-3 -j "${JOBS:-8}" --target review_cases_3
