#!/bin/sh
# One stream that crashes each engine that begins on it is sent again and again, at three entries. It
# takes three engines at most and is answered 503 from then on, also after all entries were killed and
# started again. Others are served all the while.
. "$(dirname "$0")/lib.sh"

start_store
put_config 3
for number in 1 2 3 4 5 6; do start_platform_engine "pool-$number" "$number" pool --events=3; done
for number in 0 1 2; do start_proxy "entry-$((number + 1))" "$number"; done
entries_stand() {
    for number in 0 1 2; do
        ready "$(proxy_operators_of "$number")" || return 1
        proxy_lists "$number" pool-1 pool-2 pool-3 pool-4 pool-5 pool-6 || return 1
    done
}
wait_for entries_stand

crashed() {
    gone=0
    for number in 1 2 3 4 5 6; do
        eval "pid=\$PID_engine_pool_$number"
        kill -0 "$pid" 2>/dev/null || gone=$((gone + 1))
    done
    echo "$gone"
}
send_fatal() { send "$1" /stream/x "fatal-$2" -d fatal; }

for each in 1 2 3 4 5 6 7 8; do
    send_fatal $((each % 3)) "$each" >/dev/null
    expect_in "another stream" "id: 3" "$(send $((each % 3)) /stream/x "other-$each")"
    sleep 0.3
done
before=$(crashed)
[ "$before" -le 3 ] || fail "$before engines crashed"
refused=$(send_fatal 0 refused-1 -i)
expect_in "the fatal stream" "503" "$refused"
expect_in "why" '"name":"quarantined"' "$refused"
expect_in "whether it ran" '"ran":"not_run"' "$refused"

for number in 1 2 3; do eval "kill -9 \$PID_proxy_entry_$number"; done
sleep 0.3
for number in 0 1 2; do start_proxy "entry-$((number + 1))" "$number"; done
all_ready() { for number in 0 1 2; do ready "$(proxy_operators_of "$number")" || return 1; done; }
wait_for all_ready
for number in 0 1 2; do
    expect_in "the fatal stream after the start" '"name":"quarantined"' "$(send_fatal "$number" "again-$number")"
done
expect_equal "engines that crashed" "$before" "$(crashed)"
sleep 0.3
expect_in "its story" "kept_from_upstreams" "$("$BIN/camphorrail" explain fatal-again-0 "$OUT/proxy_entry-1.log")"
