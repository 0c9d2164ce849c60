#!/bin/sh
# An engine says in its answers that it leaves, and the store's list goes on calling it ready; another
# turns calls away and asks for a pause. The first gets nothing two seconds after an entry has heard it,
# the second two calls at most in its pause; a third one serves them all.
. "$(dirname "$0")/lib.sh"

start_store
put_config 3
start_platform_engine slots-1 1 slots --leaving=yes
start_platform_engine slots-2 2 slots --pause=60
start_platform_engine slots-3 3 slots
start_proxy entry-1 0
wait_for ready "$(proxy_operators_of 0)"
wait_for proxy_lists 0 slots-1 slots-2 slots-3

told=0
tell() {
    told=$((told + 1))
    send 0 /status/x "first-$told" >/dev/null
    grep -q upstream_leaves "$OUT/proxy_entry-1.log" && grep -q upstream_wants_pause "$OUT/proxy_entry-1.log"
}
wait_for tell
sleep 2
ran_before=$(grep -c '^ran ' "$OUT/engine_slots-1.log")
for each in $(seq 1 30); do
    expect_in "call $each" "200" "$(send 0 /status/x "later-$each")"
done
expect_equal "calls that the leaving engine ran" "$ran_before" "$(grep -c '^ran ' "$OUT/engine_slots-1.log")"
turned_away=$(grep -c '^turned away ' "$OUT/engine_slots-2.log")
[ "$turned_away" -le 3 ] || fail "$turned_away calls reached the engine in its pause"
