#!/bin/sh
# Guards against sending an engine more than the rate limit that it states in its answers, against starving it, and
# against a limit that is believed for longer than the engine states it.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/limits.sh"

start_limited_fleet 1 1
sleep 10
until=$(now_ms)
state_limit "" 1
sleep 4
free_from=$(now_ms)
sleep 4
free_until=$(now_ms)
stop_calls

expect_within_limit 1 "$FROM" "$until" "[0-9]" 1
expect_limit_used 1 "$FROM" "$until" 1
expect_all_served "$FROM" "$free_until"
of_one=$(arrivals 1 "$free_from" "$free_until" | wc -l)
of_all=0
for number in $(seq 1 $ENGINE_COUNT); do
    of_all=$((of_all + $(arrivals "$number" "$free_from" "$free_until" | wc -l)))
done
[ $((2 * ENGINE_COUNT * of_one)) -ge "$of_all" ] || fail "$of_one of $of_all calls go to an engine without a limit"
