#!/bin/sh
# Guards against streams that are completed at their clients although their engines broke them off, where the
# engines' answers have neither a length nor chunks.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/streams.sh"

EVENTS=20
PROXY_BOUNDS="  retry_window_s: 1"
# Entries that have just started may retry little before a window has passed.
SETTLING_SECONDS=2
start_store
put_config 3
start_version v1 1 2 3 4 -- --ends-by=close --breaks=5 --breaks-by=event
start_version v1 5 6 7 -- --ends-by=close --breaks=5 --breaks-by=end
start_platform_engine slots-1 8 slots --ends-by=close
ENGINES="pool-1 pool-4 pool-5 pool-7 slots-1"
start_entries 0 1 2
sleep "$SETTLING_SECONDS"

# read_once NAME ENTRY: one try; NAME.exit is 0 if the answer is framed as complete.
read_once() {
    code=0
    curl -sN -m 10 "http://$(proxy_of "$2")/stream/x" -H "Host: desk.example" -d "prompt of $1" \
        -H "Authorization: Bearer $TEAM_KEY" -H "Request-Id: $1" -o "$OUT/streams/$1" || code=$?
    echo "$code" >"$OUT/streams/$1.exit"
}

CLIENTS=""
for each in $(seq 1 24); do
    read_once "stream-$each" $((each % 3)) &
    CLIENTS="$CLIENTS $!"
done
wait_clients

whole=0
for each in $(seq 1 24); do
    got=$(grep -c '^data: .*word' "$OUT/streams/stream-$each" || true)
    if [ "$(cat "$OUT/streams/stream-$each.exit")" = 0 ]; then
        whole=$((whole + 1))
        expect_equal "events of stream $each, framed as complete" "$EVENTS" "$got"
    fi
done
# Of two engines that a stream may be sent to, the second may end under another stream.
[ "$whole" -ge 12 ] || fail "$whole of 24 streams are whole"

expect_in "a plain answer without a length" '{"done":true}' "$(send 0 /status/x plain-1)"
