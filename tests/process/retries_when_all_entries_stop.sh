#!/bin/sh
# Guards against more retries than the shared budget allows when all entries stop at once and start again: the
# last ones that are registered must not take the shares of the others, nor a new process a share once more.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/retries.sh"

start_fleet
send_calls
sleep 3
expect_budget_used
signal_entries TERM 0 1 2 3 4 5
for number in 0 1 2 3 4 5; do wait_for entry_has_ended "$number"; done
start_entries 0 1 2 3 4 5
sleep 5
stop_calls
expect_within_budget
