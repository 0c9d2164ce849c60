#!/bin/sh
# Guards against requests that arrive late in a planned stop, are passed on although they cannot be answered before the
# entry ends, and are cut then.
. "$(dirname "$0")/lib.sh"

start_store
put_config 3
start_platform_engine slots-1 1 slots
start_proxy entry-1 0
wait_for ready "$(proxy_operators_of 0)"
wait_for proxy_lists 0 slots-1

# upload ID HALVES RUN-MS: a call whose body arrives in pieces, half a second apart, and that runs for so long.
upload() {
    {
        printf '{"run_ms":'
        for _ in $(seq "$2"); do sleep 0.5; printf ' '; done
        printf '%s}' "$3"
    } | curl -sN -i -m 9 -X POST -T - "http://$(proxy_of 0)/confirm/x" -H "Host: desk.example" -H "Expect:" \
        -H "Authorization: Bearer $TEAM_KEY" -H "Request-Id: $1" >"$OUT/$1.answer" 2>/dev/null || true
}
status_of() { head -n 1 "$OUT/$1.answer" | cut -d ' ' -f 2; }
runs() { grep -c "^ran $1\$" "$OUT/engine_slots-1.log" || true; }

# The usual time of a call is known before the stop.
for number in 1 2 3; do upload "before-$number" 0 1000 & done
sleep 1.5
for number in 1 2 3 4; do upload "late-$number" 8 1000 & done
upload early 3 1000 &
sleep 0.3
kill "$PID_proxy_entry_1"
ended() { ! kill -0 "$PID_proxy_entry_1" 2>/dev/null; }
wait_for ended
sleep 0.5

expect_equal "a call that can be answered in time" 200 "$(status_of early)"
for number in 1 2 3 4; do
    expect_equal "late call $number" 503 "$(status_of "late-$number")"
    expect_in "whether late call $number ran" '"ran":"not_run"' "$(cat "$OUT/late-$number.answer")"
    expect_equal "runs of late call $number" 0 "$(runs "late-$number")"
done
