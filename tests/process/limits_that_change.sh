#!/bin/sh
# Guards against a limit that is noticed when first stated alone: engines state a lower one, and a higher one, later.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/limits.sh"

start_limited_fleet 4 1 2 3 4
state_limit 1 1 2 3 4
sleep "$SETTLING_SECONDS"
from=$(now_ms)
sleep 6
until=$(now_ms)
state_limit 4 1 2 3 4
sleep 6
raised_from=$(now_ms)
sleep 6
raised_until=$(now_ms)
stop_calls

expect_within_limit 1 "$from" "$until" "[0-9]" 1 2 3 4
expect_within_limit 4 "$raised_from" "$raised_until" "[0-9]" 1 2 3 4
expect_limit_used 4 "$raised_from" "$raised_until" 1 2 3 4
