#!/bin/sh
# Guards against more retries than the shared budget allows when entries are killed and started again: each new
# process must not spend a share that its predecessor has spent within the same window.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/retries.sh"

start_fleet
send_calls
sleep 1
expect_budget_used
for round in 1 2; do
    signal_entries KILL 0 1 2 3 4 5
    sleep 0.2
    start_entries 0 1 2 3 4 5
    sleep 3
done
stop_calls
expect_within_budget
