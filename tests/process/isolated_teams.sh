#!/bin/sh
# Operators isolate teams in turn, back and forth and two at once, while entries are restarted, killed and
# paused. No isolated team finds what another one has cached, nor the other way round; and lifting an
# isolation costs no team what it has cached.
REVOKE_MS=5000
. "$(dirname "$0")/lib.sh"

version=0
# Further routes, so that entries read the configuration from the store and are not told it by others.
routes=""
for number in $(seq 40); do
    routes="$routes,{\"name\":\"r$number\",\"host\":\"other.example\",\"prefix\":\"/r$number/\",\"kind\":\"safe\",\
\"timeoutMs\":1000,\"targetLatencyMs\":300,\"gapTargetMs\":250,\"attempts\":1,\"resumable\":false,\"service\":\"pool\"}"
done
# isolate TEAM...: a configuration that isolates just these teams, in force at all entries.
isolate() {
    version=$((version + 1))
    tenants=""
    for team in north south west; do
        isolated=false
        case " $* " in *" $team "*) isolated=true ;; esac
        tenants="$tenants${tenants:+,}{\"name\":\"$team\",\"keys\":[\"key-$team\"],\"isolated\":$isolated}"
    done
    put_item op/config "{\"version\":$version,\"routes\":[{\"name\":\"chat\",\"host\":\"desk.example\",\
\"prefix\":\"/stream/\",\"kind\":\"stream\",\"timeoutMs\":8000,\"targetLatencyMs\":300,\"gapTargetMs\":250,\
\"attempts\":2,\"sticky\":true,\"resumable\":false,\"service\":\"pool\"}$routes],\
\"services\":[{\"name\":\"pool\",\"engine\":{\"kvCapacityTokens\":100000,\"kvTokenBytes\":192512.0,\
\"linkMbps\":350000.0}}],\"limits\":{},\"tenants\":[$tenants]}"
}
in_force() { http_get "$(proxy_operators_of "$1")/status" | grep -q "\"config_version\":$version[,}]"; }
isolate_and_wait() {
    isolate "$@"
    for number in 0 1; do wait_for in_force "$number"; done
}

prompts=0
# ask ENTRY TEAM: a prompt with a part that all share. FOUND is the team whose part it found, if any.
ask() {
    prompts=$((prompts + 1))
    TEAM_KEY="key-$2" send "$1" /stream/x "p-$prompts" -H "Model-Name: m0" -H "Token-Count: 4300,20" \
        -H "Prompt-Prefix: 5c1e07a2:4000,$prompts:300" >"$OUT/answer"
    expect_equal "status of p-$prompts" 200 "$(tail -n 1 "$OUT/answer")"
    FOUND=$(grep "^prompt p-$prompts " "$OUT/engine_pool-1.log" | sed 's/.* of //' || true)
}
ask_everywhere() {
    for number in 0 1; do
        for team in north south west; do ask "$number" "$team"; done
    done
}
# expect_apart TEAM: neither finds the team what another one has cached, nor the other way round.
expect_apart() {
    for number in 0 1; do
        for team in north south west; do
            ask "$number" "$team"
            [ -z "$FOUND" ] || [ "$FOUND" = "$team" ] || { [ "$FOUND" != "$1" ] && [ "$team" != "$1" ]; } ||
                fail "version $version: $team found a part of $FOUND at entry $number, and $1 is isolated"
        done
    done
}
# expect_found TEAM...: what these teams had cached, each alone or with others, is still found.
expect_found() {
    for number in 0 1; do
        for team in "$@"; do
            ask "$number" "$team"
            [ -n "$FOUND" ] || fail "version $version: nothing found for $team at entry $number"
        done
    done
}

start_store
isolate
put_item op/version/m0 '{"model":"m0","version":1}'
start_platform_engine pool-1 1 pool --events=2
start_proxy entry-1 0
start_proxy entry-2 1
for number in 0 1; do wait_for ready "$(proxy_operators_of "$number")"; done
for number in 0 1; do wait_for proxy_lists "$number" pool-1; done
wait_for store_holds camphorrail/leader

ask_everywhere
expect_found north south west

isolate_and_wait north
expect_apart north
wait_for store_holds camphorrail/cache_spaces
isolate_and_wait
expect_found north south west
isolate_and_wait north
expect_apart north
expect_found north south west

kill -9 "$PID_proxy_entry_1" "$PID_proxy_entry_2"
start_proxy entry-1 0
start_proxy entry-2 1
for number in 0 1; do wait_for ready "$(proxy_operators_of "$number")"; done
expect_apart north
isolate_and_wait
expect_found north south west

isolate_and_wait south
expect_apart south
isolate_and_wait north south
expect_apart north
expect_apart south
isolate_and_wait south
expect_apart south
expect_found north south west
isolate_and_wait west
expect_apart west

# An entry that stood still over a change serves nothing by the configuration before it.
ask_everywhere
kill -STOP "$PID_proxy_entry_2"
isolate north
wait_for in_force 0
sleep 2.2
for team in south north; do
    TEAM_KEY="key-$team" send 1 /stream/x "paused-$team" -H "Model-Name: m0" -H "Token-Count: 4300,20" \
        -H "Prompt-Prefix: 5c1e07a2:4000,paused-$team:300" >"$OUT/paused-$team" &
    eval "sent_$team=\$!"
done
sleep 0.3
kill -CONT "$PID_proxy_entry_2"
wait "$sent_south"
wait "$sent_north"
for team in south north; do
    expect_equal "status of paused-$team" 200 "$(tail -n 1 "$OUT/paused-$team")"
    FOUND=$(grep "^prompt paused-$team " "$OUT/engine_pool-1.log" | sed 's/.* of //' || true)
    [ "$team" = north ] || expect_equal "whose part $team found" "" "$(echo "$FOUND" | grep north || true)"
    [ "$team" = south ] || expect_equal "whose part $team found" "" "$(echo "$FOUND" | grep -v north || true)"
done
