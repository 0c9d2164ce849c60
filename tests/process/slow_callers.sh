#!/bin/sh
# Guards against upstreams that are not read for the time that a slow caller takes, against memory that callers keep
# who read nothing, and against a response that is aborted for its memory and looks complete.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/streams.sh"

EVENTS=40
MEMORY_MB=48
PROXY_BOUNDS="features:
  memory_budget: true
limits:
  memory_mb: $MEMORY_MB"
start_store
put_config 3
start_version v1 1 2 -- --event-bytes=262144
start_platform_engine slots-1 8 slots
ENGINES="pool-1 pool-2 slots-1"
start_entries 0

# begin_reading NAME [CURL-OPTION...]: a caller of a stream of 10 MB; its process is CALLER.
begin_reading() {
    name=$1
    shift
    curl -sN -m 30 "http://$(proxy_of 0)/stream/x" -H "Host: desk.example" -d "prompt of $name" "$@" \
        -H "Authorization: Bearer $TEAM_KEY" -H "Request-Id: $name" -o "$OUT/streams/$name" &
    CALLER=$!
}
events_of() { grep -c '^data: .*word' "$OUT/streams/$1" || true; }
ended() { grep -q "\"event\":\"ended\",\"request\":\"$1\"" "$OUT/proxy_entry-1.log"; }

begin_reading slow --limit-rate 2M
slow=$CALLER
wait_for ended slow
kill -0 "$slow" || fail "the slow caller is done before its upstream"
wait "$slow" || fail "the slow caller's response was cut"
expect_equal "events of the slow caller" "$EVENTS" "$(events_of slow)"

stopped=""
for each in 1 2 3 4 5 6; do
    begin_reading "stopped-$each"
    stopped="$stopped $CALLER"
done
PIDS="$PIDS $stopped"
sleep 0.3
# shellcheck disable=SC2086
kill -STOP $stopped
for each in 1 2 3 4 5 6; do
    wait_for ended "stopped-$each"
    expect_in "a plain answer beside stopped callers" '{"done":true}' "$(send 0 /status/x "plain-$each")"
done
yields=$(grep -c '"event":"buffers_yielded"' "$OUT/proxy_entry-1.log" || true)
[ "$yields" -ge 1 ] || fail "nothing yielded"
peak_kb=$(grep VmHWM "/proc/$PID_proxy_entry_1/status" | grep -o '[0-9]*')
[ "$peak_kb" -le $((1024 * MEMORY_MB)) ] || fail "the entry has used $peak_kb KB of $MEMORY_MB MB"

# shellcheck disable=SC2086
kill -CONT $stopped
cut=0
number=0
for caller in $stopped; do
    number=$((number + 1))
    if wait "$caller"; then
        expect_equal "events of stopped-$number, framed as complete" "$EVENTS" "$(events_of "stopped-$number")"
    else
        cut=$((cut + 1))
    fi
done
expect_equal "callers that saw their response cut" "$yields" "$cut"
echo "peak memory $peak_kb KB, $yields responses aborted"
