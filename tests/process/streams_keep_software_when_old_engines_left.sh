#!/bin/sh
# Guards against streams that go on at the newer software version after the engines of the older one have left and all
# entries were killed at once: the list then shows one version, and nobody remembers where the streams began.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/streams.sh"

start_two_versions
# Until both versions are in use.
sleep 2
read_streams 20 left 10 0 1 2 0 1 2
sleep 0.6
stop_engine 1 2 3 4
kill -9 "$PID_proxy_entry_1" "$PID_proxy_entry_2" "$PID_proxy_entry_3"
wait_clients
begun=0
for stream in "$OUT"/streams/left-*[0-9]; do
    grep -q '^data: v1 ' "$stream" && begun=$((begun + 1))
done
[ "$begun" -gt 0 ] || fail "no stream had begun at the older version"

ENGINES="pool-5 pool-8"
start_entries 0 1 2
continue_streams left
expect_unmixed left
