#!/usr/bin/env bash
# Usage: run_case.sh CASE FOLDER_OF_THE_CASE
# Starts the stand-ins of a case and the daemons with the command of the deploy
# file, waits for the verdict and ends all of them.
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
daemon=$root/target/platform/rhubarbhavend
stand_in=$root/build/review-2/cases
if [ ! -x "$daemon" ] || [ ! -x "$stand_in" ]; then
  echo "run the build of the deploy file and review/build-2.sh first" >&2
  exit 2
fi
folder=$(mktemp -d)
pids=()
finish() {
  kill -TERM "$verdict" 2>/dev/null
  for pid in "${pids[@]:1}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$folder"
}
trap finish EXIT
cd "$root" || exit 2
timeout 118 "$stand_in" "$1" "$folder" "$2/record.txt" "${TROUBLE:-1}" &
verdict=$!
pids+=("$verdict")
for _ in $(seq 100); do
  [ -e "$folder/ready" ] && break
  sleep 0.1
done
[ -e "$folder/ready" ] || exit 2
for settings in "$folder"/*.json; do
  env -i PATH="$PATH" RHUBARBHAVEN_BOOT="$settings" "$daemon" \
    >"${settings%.json}.log" 2>&1 &
  pids+=("$!")
done
wait "$verdict"
code=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$folder"/*.log "$KEEP_LOGS"
[ "$code" -le 2 ] || code=2
exit "$code"
