#!/bin/sh
# Measures what an entry and an agent add to a request, and the memory and control traffic of idle
# ones, on loopback.
set -eu
BUILD=${1:-build}
BIN=$BUILD/bin
PORT_BASE=18500
OUT=$(mktemp -d)
. "$(dirname "$0")/fleet.sh"
trap 'stop_fleet; rm -rf "$OUT"' EXIT INT TERM

start_kv
start_engine pool-1 1 --prefill-us=0 --decode-us=0
start_agent pool-1 1
start_service slots-2 2
start_agent slots-2 2
start_entry entry-1 0
ctl team add blue-mahoe desk "--key=$TEAM_KEY" >/dev/null
ctl upstream add pool-1 "--link=$(link_of 1)" --serves=desk-8b >/dev/null
ctl upstream add slots-2 "--link=$(link_of 2)" --serves=slots --service --not-repeatable >/dev/null
wait_for ready "$(entry_operators_of 0)"
sleep 2

memory_of() { awk '/VmRSS/ {printf "%.1f MB", $2 / 1000}' "/proc/$1/status"; }
ticks_of() { awk '{print $14 + $15}' "/proc/$1/stat"; }
# Sums the kinds of calls that the pattern names.
calls_of() { curl -s "http://$1/metrics" | awk -v kinds="kind=\"($2)\"" '/^camphorrail_platform_calls\{/ && $0 ~ kinds {sum += $2} END {print sum + 0}'; }
READS="read|read_key|watch"
WRITES="proof|write|lease|renewal"

echo "idle entry: $(memory_of "$PID_entry_entry_1"); idle agent: $(memory_of "$PID_agent_pool_1")"
entry_before=$(ticks_of "$PID_entry_entry_1")
agent_before=$(ticks_of "$PID_agent_slots_2")
reads=$(calls_of "$(agent_operators_of 2)" "$READS")
writes=$(calls_of "$(agent_operators_of 2)" "$WRITES")
entry_reads=$(calls_of "$(entry_operators_of 0)" "$READS")
sleep 20
echo "idle for 20 s: entry $(($(ticks_of "$PID_entry_entry_1") - entry_before)) ticks of 10 ms," \
    "agent $(($(ticks_of "$PID_agent_slots_2") - agent_before)) ticks"
echo "platform calls in 20 s: agent of a pool that keeps keys" \
    "$(($(calls_of "$(agent_operators_of 2)" "$READS") - reads)) reads," \
    "$(($(calls_of "$(agent_operators_of 2)" "$WRITES") - writes)) writes; entry" \
    "$(($(calls_of "$(entry_operators_of 0)" "$READS") - entry_reads)) reads"

"$BUILD/bench/camphorrail_latency_bench" "$(upstream_of 1)" "$(entry_of 0)" "$TEAM_KEY" 2000
entry_before=$(ticks_of "$PID_entry_entry_1")
agent_before=$(ticks_of "$PID_agent_pool_1")
"$BUILD/bench/camphorrail_latency_bench" "$(upstream_of 1)" "$(entry_of 0)" "$TEAM_KEY" 2000 >/dev/null
echo "2000 requests of one token: entry $(($(ticks_of "$PID_entry_entry_1") - entry_before)) ticks of 10 ms," \
    "agent $(($(ticks_of "$PID_agent_pool_1") - agent_before)) ticks"
entry_before=$(ticks_of "$PID_entry_entry_1")
agent_before=$(ticks_of "$PID_agent_pool_1")
curl -sN -m 60 "http://$(entry_of 0)/v1/completions" -H "Authorization: Bearer $TEAM_KEY" \
    -d '{"model":"desk-8b","prompt":"hello","max_tokens":50000,"stream":true}' | grep -c data: >/dev/null
echo "a stream of 50000 tokens: entry $(($(ticks_of "$PID_entry_entry_1") - entry_before)) ticks of 10 ms," \
    "agent $(($(ticks_of "$PID_agent_pool_1") - agent_before)) ticks"
