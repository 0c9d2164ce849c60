#!/bin/sh
# Guards against half a stream that looks complete to a client that takes no chunks, since its entry was killed.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/streams.sh"

start_store
put_config 3
start_version v1 1
ENGINES="pool-1"
start_entries 0

read_without_chunks() {
    code=0
    curl -sN --http1.0 -m 10 "http://$(proxy_of 0)/stream/x" -H "Host: desk.example" -d "prompt of $1" \
        -H "Authorization: Bearer $TEAM_KEY" -H "Request-Id: $1" -o "$OUT/streams/$1" || code=$?
    echo "$code" >"$OUT/streams/$1.exit"
}
has_events() { grep -q '^id: 5' "$OUT/streams/$1"; }

read_without_chunks whole
expect_equal "the end of a whole stream" 0 "$(cat "$OUT/streams/whole.exit")"
expect_equal "its events" "$EVENTS" "$(grep -c '^data:' "$OUT/streams/whole")"

read_without_chunks cut &
client=$!
wait_for has_events cut
# shellcheck disable=SC2154
kill -9 "$PID_proxy_entry_1"
wait "$client"
[ "$(cat "$OUT/streams/cut.exit")" != 0 ] || fail "half a stream looks complete"
