#!/bin/sh
# Guards against streams that go on at an engine of another software version after their engine breaks off, in the
# same response or at another entry.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/streams.sh"

start_store
put_config 3
start_version v1 1 2 3 4 -- --breaks=5
start_version v1.1 5 6 7 8 -- --breaks=5
ENGINES="pool-1 pool-4 pool-5 pool-8"
start_entries 0 1 2
read_streams 20 broken-a 10 0 1 2
first=$CLIENTS
read_streams 20 broken-b 10 1 2 0
CLIENTS="$CLIENTS $first"
wait_clients
for name in broken-a broken-b; do
    expect_unmixed "$name"
    expect_whole "$name" 10
done
