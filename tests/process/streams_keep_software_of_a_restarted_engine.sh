#!/bin/sh
# Guards against streams that go on at an engine that has restarted under its id with other software.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/streams.sh"

EVENTS=60
start_store
put_config 3
start_version v1 1
start_version v1 2
ENGINES="pool-1 pool-2"
start_entries 0 1 2
read_streams 20 upgraded 10 0 1 2
sleep 0.6
for number in 1 2; do
    eval "kill -9 \$PID_engine_pool_$number"
    start_version v1.1 "$number"
    sleep 0.4
done
wait_clients
expect_unmixed upgraded
for number in 0 1 2; do wait_for stream_served "$number"; done
