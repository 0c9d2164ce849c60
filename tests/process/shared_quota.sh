#!/bin/sh
# A team's quota holds over three entries together: what one let through, the others refuse, also after
# two of them were killed and started again. The refused caller learns that its request has not run.
. "$(dirname "$0")/lib.sh"

burst=6
start_store
TEAM_QUOTA=',"unit":"requests","ratePerS":0.25,"burst":6'
put_config 3
start_platform_engine slots-1 1 slots
for number in 0 1 2; do start_proxy "entry-$((number + 1))" "$number"; done
entries_stand() {
    for number in 0 1 2; do
        ready "$(proxy_operators_of "$number")" || return 1
        proxy_lists "$number" slots-1 || return 1
    done
}
wait_for entries_stand
began=$(date +%s)
# All entries are listed, hear each other, and the bucket has filled.
sleep 7

runs() { grep -c '^ran' "$OUT/engine_slots-1.log" || true; }
# Whole seconds round down, a request may be on its way to each entry, and the burst is there once.
allowed() { echo $((($(date +%s) - began + 1) / 4 + 1 + burst + 3)); }
ask() {
    for each in $(seq 1 "$2"); do send "$1" /status/x "$3-$each" -i; done >"$OUT/answers-$3"
}

ask 0 40 first
grep -q "200 OK" "$OUT/answers-first" || fail "nothing was served"
[ "$(runs)" -le "$(allowed)" ] || fail "$(runs) ran at one entry, $(allowed) allowed"
sleep 0.5
ask 1 30 second
ask 2 30 third
[ "$(runs)" -le "$(allowed)" ] || fail "$(runs) ran at three entries, $(allowed) allowed"
refused=$(cat "$OUT/answers-third")
expect_in "a refusal" "429" "$refused"
expect_in "why" '"name":"quota_spent"' "$refused"
expect_in "whether it ran" '"ran":"not_run"' "$refused"
expect_in "when to come back" "Retry-After" "$refused"
id=$(grep '"event":"over_quota"' "$OUT/proxy_entry-3.log" | head -n 1 | sed 's/.*"request":"\([^"]*\)".*/\1/')
expect_in "its story" "over_quota" "$("$BIN/camphorrail" explain "$id" "$OUT/proxy_entry-3.log")"
expect_in "the metrics" "camphorrail_quota_left" "$(http_get "$(proxy_operators_of 0)/metrics")"

for number in 1 2; do eval "kill -9 \$PID_proxy_entry_$number"; done
sleep 0.3
for number in 0 1; do start_proxy "entry-$((number + 1))" "$number"; done
wait_for entries_stand
ask 0 30 fourth
ask 1 30 fifth
[ "$(runs)" -le "$(allowed)" ] || fail "$(runs) ran after two entries were killed, $(allowed) allowed"
