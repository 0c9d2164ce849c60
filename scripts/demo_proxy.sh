#!/bin/sh
# Entries without agents before the users' platform, as stand-ins on loopback: three requests that fail,
# and what `camphorrail explain` tells of each. docs/OPERATIONS.md goes through the same three.
set -eu
BIN=$1/bin
PORT_BASE=${PORT_BASE:-18500}
. "$(dirname "$0")/fleet.sh"
trap stop_fleet EXIT

start_proxy_fleet
wait_for proxy_lists 0 slots-1 pool-1 pool-2

echo "--- a confirmation whose answer is lost: it ran once, and nobody may send it again"
send 0 /confirm/x lost-1
echo "--- an engine is killed in the middle of a stream: another goes on"
send 0 /stream/x stream-1 >"$OUT/stream.txt" &
stream=$!
sleep 0.5
first=$(grep '"event":"sent","request":"stream-1"' "$OUT/proxy_entry-1.log" | grep -o 'pool-[12]' | head -n 1)
eval "kill -9 \$PID_engine_$(echo "$first" | tr - _)"
wait "$stream"
echo "$(grep -c 'id: ' "$OUT/stream.txt") of 30 events, the last: $(grep 'id: ' "$OUT/stream.txt" | tail -n 1)"
echo "--- the store is away for longer than a key's removal may take to be followed"
kill -STOP "$PID_store"
sleep 4
send 0 /status/x away-1
kill -CONT "$PID_store"
sleep 1
for request in lost-1 stream-1 away-1; do
    echo "--- camphorrail explain $request"
    "$BIN/camphorrail" explain "$request" "$OUT/proxy_entry-1.log"
done
echo "--- the logs: $OUT"
