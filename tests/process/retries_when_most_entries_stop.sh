#!/bin/sh
# Guards against more retries than the shared budget allows when the only entry that stays takes the shares of
# those that stop, which have spent them within the same window.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/retries.sh"

start_fleet
send_calls
sleep 3
expect_budget_used
signal_entries TERM 1 2 3 4 5
for number in 1 2 3 4 5; do wait_for entry_has_ended "$number"; done
sleep 3
start_entries 1 2 3 4 5
sleep 3
stop_calls
expect_within_budget
