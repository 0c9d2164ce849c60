#!/bin/sh
# Three failures that callers of an entry without agents can meet, and what its log says of each: a
# confirmation whose answer is lost (502, run once), an engine killed in the middle of a stream (another
# goes on, no event is missing), and a store that is away for longer than a key's removal may take (503,
# not run, until it is back).
. "$(dirname "$0")/lib.sh"

start_proxy_fleet
wait_for proxy_lists 0 slots-1 pool-1 pool-2

lost=$(send 0 /confirm/x lost-1)
expect_in "a lost answer" "502" "$lost"
expect_equal "runs of the confirmation" 1 "$(grep -c 'ran lost-1' "$OUT/engine_slots-1.log")"

send 0 /stream/x stream-1 >"$OUT/stream.txt" &
stream=$!
begun() { grep -q 'id: 5' "$OUT/stream.txt"; }
wait_for begun
sent_to() { grep '"event":"sent","request":"stream-1"' "$OUT/proxy_entry-1.log" | grep -o 'pool-[12]' | head -n 1; }
wait_for sent_to
first=$(sent_to)
eval "kill -9 \$PID_engine_$(echo "$first" | tr - _)"
wait "$stream"
expect_equal "events" "$(seq 1 30 | tr '\n' ' ')" "$(grep -o 'id: [0-9]*' "$OUT/stream.txt" | cut -d' ' -f2 | tr '\n' ' ')"

kill -STOP "$PID_store"
refused_now() { send 0 /status/x "away-$(date +%s%N)" | grep -q '"name":"not_ready"'; }
wait_for refused_now
refused=$(send 0 /status/x away-1 -i)
expect_in "a refusal in the outage" "503" "$refused"
expect_in "whether it ran" '"ran":"not_run"' "$refused"
expect_in "when to come back" "Retry-After" "$refused"
kill -CONT "$PID_store"
wait_for ready "$(proxy_operators_of 0)"

sleep 0.3
for story in lost-1:connection_broke stream-1:attempt_failed away-1:store_lost; do
    told=$("$BIN/camphorrail" explain "${story%%:*}" "$OUT/proxy_entry-1.log")
    expect_in "the story of ${story%%:*}" "${story##*:}" "$told"
done
