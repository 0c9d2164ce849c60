#!/bin/sh
# Two entries are stopped and started one after the other while callers send on. Whoever asks an entry
# that is still listened to is served, also by one that has been told to stop; a stream under way ends
# whole; and the other entry goes on with the configuration that both have.
. "$(dirname "$0")/lib.sh"

start_store
put_config 3
start_platform_engine slots-1 1 slots
start_platform_engine pool-1 2 pool --events=20
start_proxy entry-1 0
start_proxy entry-2 1
for number in 0 1; do wait_for ready "$(proxy_operators_of $number)"; done
for number in 0 1; do wait_for proxy_lists $number pool-1 slots-1; done

send 0 /stream/x stream-1 >"$OUT/stream.txt" &
stream=$!
begun() { grep -q 'id: 3' "$OUT/stream.txt"; }
wait_for begun
kill "$PID_proxy_entry_1"
told() { ! ready "$(proxy_operators_of 0)"; }
wait_for told
expect_in "a call during the stop" "200" "$(send 0 /confirm/x during-stop)"
wait "$stream"
expect_equal "events" 20 "$(grep -c 'id: ' "$OUT/stream.txt")"
ended() { ! kill -0 "$PID_proxy_entry_1" 2>/dev/null; }
wait_for ended
expect_in "a call at the other entry" "200" "$(send 1 /confirm/x other-entry)"
start_proxy entry-1 0
wait_for ready "$(proxy_operators_of 0)"
wait_for proxy_lists 0 pool-1 slots-1
expect_in "a call after the start" "200" "$(send 0 /confirm/x after-start)"
expect_equal "runs" 3 "$(grep -c '^ran ' "$OUT/engine_slots-1.log")"
