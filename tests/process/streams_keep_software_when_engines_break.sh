#!/bin/sh
# Guards against streams that go on at an engine of another software version after their engine breaks off, in the
# same response or at another entry.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/streams.sh"

start_two_versions --breaks=5
read_streams 20 broken-a 10 0 1 2
first=$CLIENTS
read_streams 20 broken-b 10 1 2 0
CLIENTS="$CLIENTS $first"
wait_clients
for name in broken-a broken-b; do
    expect_unmixed "$name"
    expect_whole "$name" 10
done
