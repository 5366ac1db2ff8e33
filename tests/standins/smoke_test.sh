#!/usr/bin/env bash
# Runs the caller stand-in directly against the backend server stand-in. Guards
# against a stand-in that loses records, blocks or notifications itself: the
# system tests would attribute that loss to the balancer.
# Usage: smoke_test.sh BACKEND CALLER
set -uo pipefail
address=127.45.0.1:5683
work=$(mktemp -d)
trap 'kill "$backend" 2>/dev/null; wait "$backend" 2>/dev/null; rm -rf "$work"' EXIT
"$1" --listen "$address" --control 127.45.0.1:8083 --slots 16 --cold-limit 16 \
  --work-ms 1 --bytes 100000 --observe-start 16777215 >"$work/backend" &
backend=$!
until grep -q ready "$work/backend" 2>/dev/null; do
  kill -0 "$backend" || exit 1
  sleep 0.05
done
"$2" --connect "$address" --name smoke --watch 60 --until-version 6 --post 20 --fetch /catalogue \
  >"$work/caller" &
caller=$!
# The versions are raised while the caller observes the board; the caller must
# receive the last one.
until curl -s "http://127.45.0.1:8083/stats" | grep -q '"observers":1'; do
  kill -0 "$caller" || exit 1
  sleep 0.05
done
for _ in 1 2 3 4 5; do curl -s -X POST "http://127.45.0.1:8083/bump" >/dev/null; done
wait "$caller" || exit 1
cat "$work/caller"
stats=$(curl -s "http://127.45.0.1:8083/stats")
echo "$stats"
failed=0
# expect TEXT PATTERN: fails the test unless TEXT contains PATTERN.
expect() { grep -q "$2" <<<"$1" || { echo "missing: $2"; failed=1; }; }
fetch=$(grep '"scenario":"fetch"' "$work/caller")
post=$(grep '"scenario":"post"' "$work/caller")
watch=$(grep '"scenario":"watch"' "$work/caller")
expect "$fetch" '"bytes":100000'
expect "$fetch" '"complete":true'
expect "$fetch" '"matched":true'
expect "$post" '"smoke-19"'
expect "$post" '"unknown":\[\]'
expect "$watch" '"last_version":6'
expect "$watch" '"version_regressions":0'
expect "$stats" '"most_executions_of_a_record":1'
expect "$stats" '"records":20,'
expect "$stats" '"observers":0'
exit "$failed"
