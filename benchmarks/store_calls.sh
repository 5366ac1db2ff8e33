#!/usr/bin/env bash
# Counts the calls to the key-value service by kind: at the start of 6
# balancers in 3 failure domains, 3 more balancers and 6 agents, over 30 s of
# the steady state, for 5 contract changes, and at the restart of the agents.
# Usage: store_calls.sh [BUILD_FOLDER]
set -euo pipefail
build=${1:-build}
dir=$(mktemp -d)
pids=()
agents=()
stop() {
  if ((${#pids[@]})); then kill "${pids[@]}" 2>/dev/null || true; fi
  wait 2>/dev/null || true
  rm -r "$dir"
}
trap stop EXIT

store=127.0.0.1:24790
key=$(printf '0%.0s' {1..64})
seeds=127.0.0.1:24001,127.0.0.1:24002,127.0.0.1:24003

calls() { curl -s "http://$store/standin/calls"; echo; }

# show NAME: prints the calls since the last show.
last='{}'
show() {
  local now
  now=$(calls)
  python3 - "$1" "$last" "$now" <<'PY'
import json, sys
name, last, now = sys.argv[1], json.loads(sys.argv[2]), json.loads(sys.argv[3])
parts = [f"{k} {v - last.get(k, 0)}" for k, v in now.items()
         if k != "open_watches" and v != last.get(k, 0)]
print(f"{name}: {', '.join(parts)}; open watches {now['open_watches']}")
PY
  last=$now
}

balancer() {
  "$build/src/ragwortyoked/ragwortyoked" balancer --id "balancer-$1" \
    --domain "domain-$(($1 % 3))" --listen "127.0.0.1:$((24000 + $1))" \
    --fabric-listen "127.0.0.1:$((24100 + $1))" --fabric 127.0.0.1:24199 \
    --http "127.0.0.1:$((24200 + $1))" --sync "127.0.0.1:$((24300 + $1))" \
    --store "$store" --seeds "$seeds" --cluster-key "$key" \
    --operator-token benchmark --log-level error >>"$dir/log" 2>&1 &
  pids+=($!)
}

agent() {
  "$build/src/ragwortyoked/ragwortyoked" agent --id "agent-$1" \
    --domain "domain-$(($1 % 3))" --listen "127.0.0.1:$((24400 + $1))" \
    --http "127.0.0.1:$((24500 + $1))" --store "$store" --seeds "$seeds" \
    --cluster-key "$key" --service 127.0.10.1:5683 \
    --backend "127.0.0.1:$((24600 + $1))" --drain-timeout-ms 1000 \
    --log-level error >>"$dir/log" 2>&1 &
  pids+=($!)
  agents+=($!)
}

contract() {
  cat >"$dir/contract" <<JSON
{"customer": "bench", "callers": ["127.0.0.0/8"], "services": [{"name": "bench",
 "address": "127.0.10.1:5683", "protocol": "udp", "limits": {"open_flows": $1}}]}
JSON
  "$build/src/ragwortyokectl/ragwortyokectl" contract put "$dir/contract" \
    --store "$store" --balancers 127.0.0.1:24201 --operator bench >>"$dir/log" 2>&1 || cat "$dir/log"
}

"$build/tests/standins/kv/rgy-standin-kv" --listen "$store" >"$dir/kv" 2>&1 &
pids+=($!)
until calls >/dev/null 2>&1; do sleep 0.1; done
for i in 1 2 3 4 5 6 7 8 9; do balancer "$i"; done
sleep 6
show "start of 9 balancers in 3 failure domains"
contract 100
sleep 3
show "first contract"
for i in 1 2 3 4 5 6; do agent "$i"; done
sleep 6
show "start of 6 agents"
sleep 30
show "30 s of the steady state"
for i in 1 2 3 4 5; do contract $((200 + i)); done
sleep 1
show "5 contract changes"
kill -TERM "${agents[@]}"
sleep 5
show "graceful stop of 6 agents"
