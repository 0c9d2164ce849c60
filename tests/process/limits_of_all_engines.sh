#!/bin/sh
# Guards against sending engines more than they take when all of a pool state a rate limit, and against refusing
# what they would take. What is refused has not run, and its caller learns when to come back.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/limits.sh"

# shellcheck disable=SC2046
start_limited_fleet 3 $(seq 1 $ENGINE_COUNT)
sleep 10
until=$(now_ms)
refused=""
for each in $(seq 1 40); do
    answer=$(send 0 /status/x "refused-$each" -i)
    case "$answer" in *" 503 "*) refused=$answer ;; esac
done
stop_calls

# shellcheck disable=SC2046
expect_within_limit 3 "$FROM" "$until" "[0-9]" $(seq 1 $ENGINE_COUNT)
# shellcheck disable=SC2046
expect_limit_used 3 "$FROM" "$until" $(seq 1 $ENGINE_COUNT)
expect_in "a refusal" '"ran":"not_run"' "$refused"
expect_in "when to come back" "Retry-After" "$refused"
