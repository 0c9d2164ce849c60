#!/bin/sh
# Guards against streams that go on at an engine of another software version after the last engines of their own
# have ended. They are refused as not run.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/streams.sh"

EVENTS=80
start_store
put_config 3
start_version v1 1 2
ENGINES="pool-1 pool-2"
start_entries 0 1 2
read_streams 20 orphan 10 0 1 2
sleep 0.5
start_version v1.1 5 6
for number in 0 1 2; do wait_for proxy_lists "$number" pool-5 pool-6; done
sleep 1.5
stop_engine 1 2
wait_clients
expect_unmixed orphan
for each in $(seq 1 20); do expect_equal "the last try of stream $each" 503 "$(cat "$OUT/streams/orphan-$each.status")"; done
for number in 0 1 2; do wait_for stream_served "$number"; done
