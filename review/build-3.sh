#!/usr/bin/env bash
# Builds the stand-ins of the cases 9 to 13 into build/review-3. They need the
# packages of the deploy file only. Run it after the build of the deploy file,
# whose program the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build/review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DBUILD_TESTING=OFF \
  -DCMAKE_PROJECT_rhubarbhaven_INCLUDE="$PWD/review/stand_ins_3/add.cmake" >/dev/null
cmake --build build/review-3 -j "${JOBS:-8}" --target review_cases_3
