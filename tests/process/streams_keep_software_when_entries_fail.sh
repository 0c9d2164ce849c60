#!/bin/sh
# Guards against streams that go on at an engine of another software version after the entry that began them is
# killed or frozen, and against refusing such streams although another entry could know where they began.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/streams.sh"

start_two_versions

read_streams 20 killed 10 0 1 2
sleep 0.6
kill -9 "$PID_proxy_entry_1"
wait_clients
expect_unmixed killed
expect_whole killed 10

read_streams 20 frozen 1 1 2
sleep 0.6
kill -STOP "$PID_proxy_entry_2"
wait_clients
kill -CONT "$PID_proxy_entry_2"
expect_unmixed frozen
expect_whole frozen 10
