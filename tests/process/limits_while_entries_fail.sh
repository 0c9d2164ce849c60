#!/bin/sh
# Guards against exceeding an engine's rate limit when entries are killed, started again and frozen: the shares of
# those that are away must not be used twice, and a new process must learn of the limit.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/limits.sh"

start_limited_fleet 1 1
kill -9 "$PID_proxy_entry_1"
sleep 1
start_entries 0
sleep 2
kill -STOP "$PID_proxy_entry_2"
sleep 1.5
kill -CONT "$PID_proxy_entry_2"
sleep 2
kill -9 "$PID_proxy_entry_3" "$PID_proxy_entry_4"
start_entries 2 3
sleep 4
until=$(now_ms)
stop_calls

# Those that nothing was done to, and all once they have had time to settle.
expect_within_limit 1 "$FROM" "$until" "[45]" 1
expect_within_limit 1 $((until - 4000)) "$until" "[0-9]" 1
