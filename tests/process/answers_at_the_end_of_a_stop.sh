#!/bin/sh
# Guards against clients whose connection ends without an answer, since the entry ends a planned stop before what it
# answers to the requests that are still open has left.
. "$(dirname "$0")/lib.sh"

start_store
put_config 3
start_platform_engine slots-1 1 slots
start_proxy entry-1 0
wait_for ready "$(proxy_operators_of 0)"
wait_for proxy_lists 0 slots-1

for number in 1 2 3; do
    curl -sN -i -m 9 "http://$(proxy_of 0)/confirm/x" -H "Host: desk.example" -H "Authorization: Bearer $TEAM_KEY" \
        -H "Request-Id: long-$number" -d '{"run_ms":7000}' >"$OUT/long-$number.answer" &
done
ran() { [ "$(grep -c '^ran long-' "$OUT/engine_slots-1.log")" = 3 ]; }
wait_for ran
kill "$PID_proxy_entry_1"
ended() { ! kill -0 "$PID_proxy_entry_1" 2>/dev/null; }
wait_for ended
sleep 0.2
for number in 1 2 3; do
    answer=$(cat "$OUT/long-$number.answer")
    expect_in "call $number" "HTTP/1.1 502" "$answer"
    expect_in "whether call $number ran" '"ran":"unknown"' "$answer"
done
