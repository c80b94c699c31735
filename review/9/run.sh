#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
set -u
cd "$(dirname "$0")/../.."
daemon=target/platform/rhubarbhavend
case=build/review-3/review_large_config
if [ ! -x "$daemon" ] || [ ! -x "$case" ]; then
  echo "build the deploy file and review/build-3.sh first" >&2
  exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 2 115 "$case" "$daemon" "$folder" review/9/record.txt "${TROUBLE:-1}"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
