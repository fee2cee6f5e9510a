#!/usr/bin/env bash
# Runs 9 entry hosts, the stand-in store and 40 stand-in workers as processes on loopback under load:
#   processes-run.sh faults    kills two entry hosts, stops one for longer than a lease, and takes the store down
#   processes-run.sh replace   replaces each of the 9 entry hosts gracefully, one after the other
# Each of 10 processes runs the 4 workers of one rack. The script prints the directory that it writes the logs to.
set -euo pipefail
cd "$(dirname "$0")/../.."
mode=${1:-faults}
seconds=${2:-70}
logs=$(mktemp -d)
settings=(--settings sites/base.json --overlay sites/fraser-fathom.json --overlay src/scripts/processes-site.json)
prefix=trial-key-of-
store=127.0.0.1:2379
declare -A pids

start_process() { # name, heap size, arguments
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
log() { printf '%s %s\n' "$(date +%T)" "$*"; }
wait_for_answer() { # URL, description
  local attempts_left=300
  until curl -sf -o /dev/null --max-time 1 "$1"; do
    attempts_left=$((attempts_left - 1))
    [ "$attempts_left" -gt 0 ] || { log "FAILED: $2 did not answer; logs in $logs"; exit 1; }
    sleep 0.1
  done
}
start_entry() { start_process "entry-$1" 96m serve "${settings[@]}" --node "entry-$1" --log-format text; }
wait_for_entry() { wait_for_answer "http://127.0.0.1:1820$1/readyz" "entry-$1"; }

./basilswitch --version >/dev/null
log "logs in $logs"
start_process store 256m standin store "${settings[@]}" --key-prefix "$prefix"
wait_for_answer "http://$store/control/counts" "the store"
records=()
for rack in 0 1 2 3 4 5 6 7 8 9; do
  first=$((rack * 4 + 1))
  start_process "rack-$rack" 64m standin worker --port $((19000 + first)) --count 4 --name host --first "$first"
  records+=(--record "127.0.0.1:$((19000 + first))")
done
for rack in 0 1 2 3 4 5 6 7 8 9; do
  wait_for_answer "http://127.0.0.1:$((19001 + rack * 4))/control/counts" "rack $rack"
done
for entry in 1 2 3 4 5 6 7 8 9; do start_entry "$entry"; done
for entry in 1 2 3 4 5 6 7 8 9; do wait_for_entry "$entry"; done
log "9 entry hosts, 40 workers in 10 processes and the store are ready"

start_load() {
  BASILSWITCH_JAVA_OPTIONS="-Xmx384m -XX:+UseSerialGC" ./basilswitch bench load "${settings[@]}" \
    --seconds "$seconds" --rate "$1" --key-prefix "$prefix" "${records[@]}" "${@:2}" >"$logs/report.txt" 2>"$logs/load.log" &
  load_pid=$!
}
set_fault() { curl -s -o /dev/null -d "$1" "http://$store/control/faults"; }
kill_entry() { log "kill -9 entry-$1"; kill -KILL "${pids[entry-$1]}"; wait "${pids[entry-$1]}" 2>/dev/null || true; }

run_faults() {
  start_load 40 --retries 1 --bursts
  sleep 12
  kill_entry 2
  sleep 6
  log "restart entry-2"; start_entry 2
  sleep 8
  log "SIGSTOP entry-4"; kill -STOP "${pids[entry-4]}"
  sleep 9
  log "SIGCONT entry-4"; kill -CONT "${pids[entry-4]}"
  sleep 4
  log "store down"; set_fault '{"down":true}'
  sleep 8
  kill_entry 7
  sleep 4
  log "store up"; set_fault '{"down":false}'
  log "restart entry-7"; start_entry 7
}
run_replace() {
  start_load 40 --require-answers
  sleep 5
  local entry started_seconds
  for entry in 1 2 3 4 5 6 7 8 9; do
    started_seconds=$SECONDS
    kill -TERM "${pids[entry-$entry]}"
    wait "${pids[entry-$entry]}" || true
    start_entry "$entry"
    wait_for_entry "$entry"
    log "entry-$entry replaced in $((SECONDS - started_seconds)) s"
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
log "store calls: $(curl -s "http://$store/control/counts")"
for entry in 1 2 3 4 5 6 7 8 9; do
  pid=${pids[entry-$entry]}
  if [ -d "/proc/$pid" ]; then
    log "entry-$entry resident $(awk '/VmRSS/ {print $2 " " $3}' "/proc/$pid/status")"
  else
    log "entry-$entry is not running"; result=1
  fi
done
[ "$result" = 0 ] && log "$mode: passed" || log "$mode: FAILED, logs in $logs"
exit "$result"
