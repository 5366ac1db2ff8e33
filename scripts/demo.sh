#!/usr/bin/env bash
# Builds the project and runs the whole path of a request with stand-ins for
# the outside systems: callers of two customers watch a job board or a shelf,
# post records and fetch a whole catalogue, while a balancer is killed and the
# agents of two backend servers drain.  Prints the checks that failed and exits
# with 0 only if none did.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
bash scripts/install-deps.sh || exit 1
if [ -z "${BUILD:-}" ]; then
  cmake -S . -B "$build" -G Ninja >/dev/null && cmake --build "$build" -j "${JOBS:-8}" >"$build.log" 2>&1 \
    || { tail -40 "$build.log"; exit 1; }
fi
work=$(mktemp -d)
pids=()
declare -A pid_of
# The agents would drain on SIGTERM, so the script ends them with SIGKILL.
trap 'kill -9 "${pids[@]}" 2>/dev/null; wait 2>/dev/null; rm -rf "$work"' EXIT

# start NAME COMMAND...: runs a process in the background with output files of
# its own.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.err" &
  pids+=($!)
  pid_of[$name]=$!
}

# await WHAT COMMAND...: runs the command every 0.1 s until it succeeds; ends
# the script after 300 attempts.
await() {
  local what=$1 tries=0
  shift
  until "$@" >/dev/null 2>&1; do
    tries=$((tries + 1))
    [ $tries -lt 300 ] || { echo "gave up waiting for $what"; tail -n 3 "$work"/*.err; exit 1; }
    sleep 0.1
  done
}
http() { curl -sf --max-time 2 "$@"; }

daemon=$build/src/ragwortyoked/ragwortyoked
ctl=$build/src/ragwortyokectl/ragwortyokectl
standin=$build/tests/standins
export RAGWORTYOKE_CLUSTER_KEY=00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff
export RAGWORTYOKE_OPERATOR_TOKEN=demo-token
export RAGWORTYOKE_OPERATOR=demo
export RAGWORTYOKE_STORE=127.0.30.1:2379
export RAGWORTYOKE_BALANCERS=127.0.31.1:8080,127.0.31.2:8080,127.0.31.3:8080
seeds=127.0.31.1:7000,127.0.31.2:7000,127.0.31.3:7000
workshop=127.0.10.1:5683 catalogue=127.0.10.2:5683 desk=127.0.20.1:5683 guides=127.0.20.2:5683

echo "== starting the stand-ins and the balancers"
start kv "$standin/kv/rgy-standin-kv" --listen "$RAGWORTYOKE_STORE"
await "the key-value stand-in" grep -q ready "$work/kv.out"
domains=(poa-a poa-b cxs-c)
for i in 1 2 3; do
  start "balancer$i" "$daemon" balancer --id "balancer-$i" --domain "${domains[$((i - 1))]}" \
    --listen "127.0.31.$i:7000" --sync "127.0.31.$i:7001" --http "127.0.31.$i:8080" \
    --fabric-listen "127.0.31.$i:9000" --fabric 127.0.32.1:9000 --seeds "$seeds"
done
start fabric "$standin/fabric/rgy-standin-fabric" --inside 127.0.32.1:9000 \
  --balancer 127.0.31.1:9000,127.0.31.1:8080 --balancer 127.0.31.2:9000,127.0.31.2:8080 \
  --balancer 127.0.31.3:9000,127.0.31.3:8080 \
  --service $workshop --service $catalogue --service $desk --service $guides

# Each of the four services has three agents, each with a backend server.
n=0
agents=()
for service in $workshop $catalogue $desk $guides; do
  for k in 1 2 3; do
    n=$((n + 1))
    start "backend$n" "$standin/backend/rgy-standin-backend" --listen "127.0.40.$n:5683" \
      --control "127.0.40.$n:8081" --slots 4 --cold-limit 1 --warm-after 8 --work-ms 5 --bytes 1048576
    start "agent$n" "$daemon" agent --id "agent-$n" --domain "${domains[$((k - 1))]}" \
      --listen "127.0.33.$n:7000" --http "127.0.33.$n:8080" --seeds "$seeds" \
      --service "$service" --backend "127.0.40.$n:5683"
    agents+=("127.0.33.$n:8080")
  done
done

echo "== contracts"
cat >"$work/rodaforte.json" <<JSON
{"customer": "rodaforte", "callers": ["127.1.0.0/16"], "limits": {"bytes_per_second": 50000000},
 "services": [
  {"name": "workshop", "address": "$workshop", "protocol": "coap",
   "limits": {"open_flows": 5000, "new_flows_per_second": 500, "requests_in_flight": 100}},
  {"name": "catalogue", "address": "$catalogue", "protocol": "coap",
   "limits": {"open_flows": 5000, "new_flows_per_second": 500, "requests_in_flight": 100}}]}
JSON
sed -e 's/rodaforte/hollenbeck/; s/127\.1\./127.2./; s/"workshop"/"catalog-desk"/; s/"catalogue"/"guide-room"/' \
  -e "s/$workshop/$desk/; s/$catalogue/$guides/" "$work/rodaforte.json" >"$work/hollenbeck.json"
for i in 1 2 3; do await "balancer $i" http "http://127.0.31.$i:8080/healthz"; done
"$ctl" contract put "$work/rodaforte.json" || exit 1
"$ctl" contract put "$work/hollenbeck.json" || exit 1
for a in "${agents[@]}"; do await "agent $a" http "http://$a/readyz"; done
for i in 1 2 3; do await "balancer $i" grep -q "127.0.31.$i:9000 ready" "$work/fabric.out"; done

echo "== callers: 12 sessions, 20 records and a catalogue of 1 MiB for each customer"
versions=8
caller=$standin/caller/rgy-standin-caller
start watch-rodaforte "$caller" --connect $workshop --bind 127.1.0.1 --name shop --callers 12 --watch 60 --until-version $versions
start watch-hollenbeck "$caller" --connect $desk --bind 127.2.0.1 --name club --callers 12 --watch 60 --until-version $versions
start post-rodaforte "$caller" --connect $workshop --bind 127.1.0.2 --name fitting --post 20 --interval-ms 100 --attempts 5
start post-hollenbeck "$caller" --connect $desk --bind 127.2.0.2 --name reservation --post 20 --interval-ms 100 --attempts 5
start fetch-rodaforte "$caller" --connect $catalogue --bind 127.1.0.3 --name shop-night --fetch /catalogue
start fetch-hollenbeck "$caller" --connect $guides --bind 127.2.0.3 --name leader --fetch /catalogue

observers() {
  local sum=0 i
  for i in "$@"; do sum=$((sum + $(http "http://127.0.40.$i:8081/stats" | sed 's/.*"observers":\([0-9]*\).*/\1/'))); done
  echo $sum
}
all_registered() { [ "$(observers 1 2 3)" -ge 12 ] && [ "$(observers 7 8 9)" -ge 12 ]; }
bump() { for i in 1 2 3 7 8 9; do http -X POST "http://127.0.40.$i:8081/bump" >/dev/null; done; }
await "all sessions" all_registered
bump; sleep 0.3; bump
echo "== killing balancer-2 (kill -9)"
kill -9 "${pid_of[balancer2]}"
sleep 0.5; bump
echo "== draining agent-1 (workshop) and agent-7 (catalog-desk)"
kill -TERM "${pid_of[agent1]}" "${pid_of[agent7]}"
sleep 0.5; bump
wait "${pid_of[agent1]}" "${pid_of[agent7]}"
echo "   both agents have stopped"
for ((v = 4; v < versions; v++)); do bump; sleep 0.2; done

broken=0
for name in watch-rodaforte watch-hollenbeck post-rodaforte post-hollenbeck fetch-rodaforte fetch-hollenbeck; do
  wait "${pid_of[$name]}" || { broken=$((broken + 1)); echo "caller $name failed"; }
done

# count NAME PATTERN: prints how many output lines of a process match.
count() { grep -c -- "$2" "$work/$1.out"; }
# check TEXT ACTUAL EXPECTED: prints whether a result is as expected, and
# counts a failure otherwise.
check() {
  if [ "$2" = "$3" ]; then echo "   ok: $1: $2"; else broken=$((broken + 1)); echo "   BROKEN: $1: $2, expected $3"; fi
}
echo "== results"
for customer in rodaforte hollenbeck; do
  check "$customer: sessions that saw the last version" "$(count watch-$customer '"last_version":'$versions'[,}]')" 12
  check "$customer: sessions that had to register again" "$(grep '"scenario"' "$work/watch-$customer.out" | grep -vc '"registrations":1,')" 0
  check "$customer: records accepted" "$(grep -o '"accepted":\[[^]]*\]' "$work/post-$customer.out" | grep -o '"[a-z]*-[0-9]*"' | sort -u | wc -l)" 20
  check "$customer: whole catalogues, every byte right" "$(count fetch-$customer '"matched":true')" 1
done
executions() {
  local i
  for i in "$@"; do http "http://127.0.40.$i:8081/records"; echo; done
}
check "rodaforte: records executed" "$(executions 1 2 3 | grep -o '"fitting-[0-9]*":1\b' | sort -u | wc -l)" 20
check "hollenbeck: records executed" "$(executions 7 8 9 | grep -o '"reservation-[0-9]*":1\b' | sort -u | wc -l)" 20
check "records executed more than once" "$(executions 1 2 3 7 8 9 | grep -o '"[a-z]*-[0-9]*":[0-9]*' | sort | uniq -c | awk '$1 > 1' | wc -l)" 0
for i in $(seq 1 12); do
  http "http://127.0.40.$i:8081/stats" | grep -o '"overload_violations":[1-9][0-9]*' | sed "s/^/   backend $i: /"
done
check "backend servers above their concurrency limit" "$(for i in $(seq 1 12); do http "http://127.0.40.$i:8081/stats"; echo; done | grep -vc '"overload_violations":0')" 0
echo "== ragwortyokectl status, audit"
RAGWORTYOKE_BALANCERS=127.0.31.1:8080,127.0.31.3:8080 "$ctl" status
"$ctl" audit 2>/dev/null | head -5
if [ $broken -eq 0 ]; then echo "nothing broke"; else echo "$broken things broke"; cp -r "$work" "${KEEP:-/dev/null}" 2>/dev/null; fi
exit $((broken > 0))
