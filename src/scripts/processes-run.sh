#!/usr/bin/env bash
# Runs 9 entry hosts, the stand-in store and 40 stand-in workers as processes on loopback and loads them:
#   processes-run.sh faults    kill -9 of two entry hosts, one stopped for longer than a lease, a store outage
#   processes-run.sh replace   each of the 9 entry hosts replaced gracefully, one after the other
# The 40 workers are 10 processes of 4, so that a process is a rack. Logs are kept in a folder that is printed.
set -euo pipefail
cd "$(dirname "$0")/../.."
mode=${1:-faults}
seconds=${2:-70}
logs=$(mktemp -d)
settings=(--settings sites/base.json --overlay sites/fraser-fathom.json --overlay src/scripts/processes-site.json)
prefix=trial-key-of-
store=127.0.0.1:2379
declare -A pids

run() { # name, heap, arguments
  local name=$1 heap=$2
  shift 2
  BASILSWITCH_JAVA_OPTIONS="-Xmx$heap -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xss512k" \
    ./basilswitch "$@" >>"$logs/$name.out" 2>>"$logs/$name.log" &
  pids[$name]=$!
}
stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill -KILL "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT
say() { printf '%s %s\n' "$(date +%T)" "$*"; }
until_answer() { # url, description
  local left=300
  until curl -sf -o /dev/null --max-time 1 "$1"; do
    left=$((left - 1))
    [ "$left" -gt 0 ] || { say "FAILED: $2 did not answer; logs in $logs"; exit 1; }
    sleep 0.1
  done
}
start_entry() { run "entry-$1" 96m serve "${settings[@]}" --node "entry-$1" --log-format text; }
ready_entry() { until_answer "http://127.0.0.1:1820$1/readyz" "entry-$1"; }

./basilswitch --version >/dev/null
say "logs in $logs"
run store 256m standin store "${settings[@]}" --key-prefix "$prefix"
until_answer "http://$store/control/counts" "the store"
records=()
for rack in 0 1 2 3 4 5 6 7 8 9; do
  first=$((rack * 4 + 1))
  run "rack-$rack" 64m standin worker --port $((19000 + first)) --count 4 --name host --first "$first"
  records+=(--record "127.0.0.1:$((19000 + first))")
done
for rack in 0 1 2 3 4 5 6 7 8 9; do
  until_answer "http://127.0.0.1:$((19001 + rack * 4))/control/counts" "rack $rack"
done
for entry in 1 2 3 4 5 6 7 8 9; do start_entry "$entry"; done
for entry in 1 2 3 4 5 6 7 8 9; do ready_entry "$entry"; done
say "9 entry hosts, 40 workers in 10 processes and the store are ready"

load() {
  BASILSWITCH_JAVA_OPTIONS="-Xmx384m -XX:+UseSerialGC" ./basilswitch bench load "${settings[@]}" \
    --seconds "$seconds" --rate "$1" --key-prefix "$prefix" "${records[@]}" "${@:2}" >"$logs/report.txt" 2>"$logs/load.log" &
  load_pid=$!
}
fault() { curl -s -o /dev/null -d "$1" "http://$store/control/faults"; }
kill_entry() { say "kill -9 entry-$1"; kill -KILL "${pids[entry-$1]}"; wait "${pids[entry-$1]}" 2>/dev/null || true; }

run_faults() {
  load 40 --retries 1 --bursts
  sleep 12
  kill_entry 2
  sleep 6
  say "start entry-2 again"; start_entry 2
  sleep 8
  say "SIGSTOP entry-4"; kill -STOP "${pids[entry-4]}"
  sleep 9
  say "SIGCONT entry-4"; kill -CONT "${pids[entry-4]}"
  sleep 4
  say "store down"; fault '{"down":true}'
  sleep 8
  kill_entry 7
  sleep 4
  say "store up"; fault '{"down":false}'
  say "start entry-7 again"; start_entry 7
}
run_replace() {
  load 40 --require-answers
  sleep 5
  local entry begun
  for entry in 1 2 3 4 5 6 7 8 9; do
    begun=$SECONDS
    kill -TERM "${pids[entry-$entry]}"
    wait "${pids[entry-$entry]}" || true
    start_entry "$entry"
    ready_entry "$entry"
    say "entry-$entry replaced in $((SECONDS - begun)) s"
  done
}

case $mode in
  faults) run_faults ;;
  replace) run_replace ;;
  *) echo "processes-run.sh: use faults or replace" >&2; exit 2 ;;
esac
result=0
wait "$load_pid" || result=$?
cat "$logs/report.txt"
say "store calls: $(curl -s "http://$store/control/counts")"
for entry in 1 2 3 4 5 6 7 8 9; do
  pid=${pids[entry-$entry]}
  if [ -d "/proc/$pid" ]; then
    say "entry-$entry resident $(awk '/VmRSS/ {print $2 " " $3}' "/proc/$pid/status")"
  else
    say "entry-$entry is gone"; result=1
  fi
done
[ "$result" = 0 ] && say "$mode: passed" || say "$mode: FAILED, logs in $logs"
exit "$result"
