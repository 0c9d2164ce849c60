#!/bin/sh
# Guards against streams that go on at an engine of another software version when their client takes them up at
# another entry, twice.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/streams.sh"

start_two_versions
read_streams 20 chain-a 0.4 0 1 2
first=$CLIENTS
read_streams 20 chain-b 0.4 1 0 1
CLIENTS="$CLIENTS $first"
wait_clients
for name in chain-a chain-b; do
    expect_unmixed "$name"
    expect_whole "$name" 10
done
