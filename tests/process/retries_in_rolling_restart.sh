#!/bin/sh
# Guards against more retries than the shared budget allows when entries are killed and started again one after the
# other, so that each new process is the only one that knows nothing of what was spent.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/retries.sh"

start_fleet
send_calls
sleep 1
expect_budget_used
for number in 0 1 2 3 4 5; do
    signal_entries KILL "$number"
    sleep 0.2
    start_entries "$number"
    wait_for ready "$(proxy_operators_of "$number")"
done
sleep 3
stop_calls
expect_within_budget
