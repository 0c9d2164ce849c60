#!/bin/sh
# Guards against streams that go on at an engine of another software version while engines are replaced one by one,
# and their clients lose their connections meanwhile.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/streams.sh"

EVENTS=30
start_store
put_config 3
start_version v1 1 2 3 4
ENGINES="pool-1 pool-4"
start_entries 0 1 2
clients=""
for step in 1 2 3 4; do
    read_streams 8 "release-$step" 0.4 $((step % 3)) $(((step + 1) % 3)) $(((step + 2) % 3)) "$((step % 3))"
    clients="$clients $CLIENTS"
    start_version v1.1 $((step + 4))
    sleep 0.8
    if [ "$step" -gt 1 ]; then
        old=$((step - 1))
        listed=$(http_get "$STORE/kv-key?key=servers/pool-$old" | sed 's/.*"value":"\([^"]*\)".*/\1/' | base64 -d)
        put_item "servers/pool-$old" "$(echo "$listed" | sed 's/"state":"ready"/"state":"draining"/')"
    fi
done
CLIENTS=$clients
wait_clients
# Three of the four engines that began the streams leave meanwhile.
for step in 1 2 3 4; do
    expect_unmixed "release-$step"
    expect_whole "release-$step" 4
done
