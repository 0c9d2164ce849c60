#!/bin/sh
# Guards against requests that are no two alike, share a part of their prompts, and crash one engine after the other,
# also after all entries were killed. Requests with the other parts are served all the while.
. "$(dirname "$0")/lib.sh"

ENGINES="1 2 3 4 5 6 7 8 9 10 11 12"
start_store
put_config 3
for number in $ENGINES; do start_platform_engine "pool-$number" "$number" pool --events=3; done
for number in 0 1 2; do start_proxy "entry-$((number + 1))" "$number"; done
entries_stand() {
    for number in 0 1 2; do
        ready "$(proxy_operators_of "$number")" || return 1
        proxy_lists "$number" pool-1 pool-12 || return 1
    done
}
wait_for entries_stand

crashed() {
    gone=0
    for number in $ENGINES; do
        eval "pid=\$PID_engine_pool_$number"
        kill -0 "$pid" 2>/dev/null || gone=$((gone + 1))
    done
    echo "$gone"
}
# send_prompt ENTRY ID PARTS...: a stream of a prompt with these parts and one of its own.
send_prompt() {
    entry=$1
    id=$2
    parts=$3
    shift 3
    send "$entry" /stream/x "$id" -H "Prompt-Prefix: $parts,e$id:9" -d "prompt $id" "$@"
}

for each in 1 2 3 4 5 6 7 8 9 10 11 12; do
    send_prompt $((each % 3)) "bad$each" "a1:90,fa7a1:30,b$each:20" >/dev/null
    expect_in "a sound stream" "id: 3" "$(send_prompt $((each % 3)) "good$each" "a1:90,b$each:20")"
    sleep 0.3
done
before=$(crashed)
# The part is known by the fifth crash at the latest.
[ "$before" -le 5 ] || fail "$before engines crashed"
refused=$(send_prompt 0 bad20 "fa7a1:30,a1:90" -i)
expect_in "a stream with the part" "503" "$refused"
expect_in "why" '"name":"quarantined"' "$refused"
expect_in "whether it ran" '"ran":"not_run"' "$refused"

for number in 1 2 3; do eval "kill -9 \$PID_proxy_entry_$number"; done
sleep 0.3
for number in 0 1 2; do start_proxy "entry-$((number + 1))" "$number"; done
all_ready() { for number in 0 1 2; do ready "$(proxy_operators_of "$number")" || return 1; done; }
wait_for all_ready
for number in 0 1 2; do
    expect_in "a stream with the part after the start" '"name":"quarantined"' \
        "$(send_prompt "$number" "bad3$number" "c$number:10,fa7a1:30")"
    expect_in "a sound stream after the start" "id: 3" "$(send_prompt "$number" "good3$number" "a1:90,b$number:20")"
done
expect_equal "engines that crashed" "$before" "$(crashed)"
