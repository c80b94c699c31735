#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 into build/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
g++ -std=c++20 -O1 -Wall -Wextra -o build/review-2/cases \
  review/stand_ins_2/*.cc -lmicrohttpd -lcurl -lpthread
