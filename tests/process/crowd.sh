#!/bin/sh
# Guards against clients that make a process use more memory than its machine has, or keep its descriptors:
#   crowd.sh BIN ROLE LISTENER LOAD
. "$(dirname "$0")/lib.sh"
ROLE=$2
LISTENER=$3
LOAD=$4

# The smallest machine that entries run on.
MEMORY_MB=88
case "$LOAD" in
many_fields | long_names | idle_connections) CLIENTS=480 ;;
nested_json) CLIENTS=8 ;;
*) CLIENTS=96 ;;
esac
# The smallest machine that upstreams, and agents beside them, run on.
UPSTREAM_MEMORY_MB=192
# For connections to other processes, and for those that the kernel has not told of yet.
OTHER_DESCRIPTORS=64
# A request that is sent on takes one for its client and one for its upstream.
DESCRIPTORS_PER_CLIENT=1
[ "$LOAD" = long_names ] && DESCRIPTORS_PER_CLIENT=2
# The most that a process may log meanwhile: 1,500 lines of 512 bytes a second, for ten seconds.
LOG_KB=7500
LARGE_BODY=$OUT/large_body
REQUEST_NAME=crowd-{number}
[ "$LOAD" = long_names ] && REQUEST_NAME=crowd-{number}-$(head -c 15000 /dev/zero | tr '\0' 'x')
# So few descriptors that the crowd alone needs more.
[ "$LOAD" = idle_connections ] && LAUNCHER="prlimit --nofile=160"

start_proxy_with_engines() {
    PROXY_BOUNDS="limits:
  memory_mb: $MEMORY_MB"
    start_store
    put_config 3
    start_platform_engine slots-1 1 slots
    start_platform_engine pool-1 2 pool --events=3
    start_proxy entry-1 0
    wait_for ready "$(proxy_operators_of 0)"
    PID=$PID_proxy_entry_1
    LOG=$OUT/proxy_entry-1.log
    base=$((PORT_BASE + 20))
    case "$LISTENER" in
    clients) ADDRESS=127.0.0.1:$base ;;
    operators) ADDRESS=127.0.0.1:$((base + 1)) ;;
    balancer) ADDRESS=127.0.0.1:$((base + 2)) ;;
    entries) ADDRESS=127.0.0.1:$((base + 3)) ;;
    esac
    REQUEST_PATH=/status/x
    [ "$LOAD" = long_names ] && REQUEST_PATH=/stream/x
    return 0
}

start_entry_with_agent() {
    start_kv
    start_service slots-1 1
    start_agent slots-1 1
    start_entry entry-1 0
    add_team
    add_slots 1
    wait_for confirmed 0
    case "$ROLE-$LISTENER" in
    entry-clients) ADDRESS=$(entry_of 0) ;;
    entry-operators) ADDRESS=$(entry_operators_of 0) ;;
    agent-entries) ADDRESS=$(link_of 1) ;;
    agent-operators) ADDRESS=$(agent_operators_of 1) ;;
    esac
    PID=$PID_entry_entry_1
    LOG=$OUT/entry_entry-1.log
    if [ "$ROLE" = agent ]; then
        PID=$PID_agent_slots_1
        LOG=$OUT/agent_slots-1.log
    fi
    REQUEST_PATH=/services/slots/confirm
    [ "$LOAD" = nested_json ] && REQUEST_PATH=/v1/completions
    return 0
}

# status_of REQUEST-ID BODY: the status that an ordinary client gets from the process, or through it.
status_of() {
    if [ "$ROLE" = proxy ]; then
        curl -s -m 20 -o /dev/null -w '%{http_code}' "http://$(proxy_of 0)/status/x" -H "Host: desk.example" \
            -H "Authorization: Bearer $TEAM_KEY" -H "Request-Id: $1" -H "Expect:" --data-binary "$2" || true
    else
        curl -s -m 20 -o /dev/null -w '%{http_code}' "http://$(entry_of 0)/services/slots/confirm" \
            -H "Authorization: Bearer $TEAM_KEY" -H "Idempotency-Key: $1" -H "Expect:" --data-binary "$2" || true
    fi
}
# answered BODY: whether an ordinary request with this body is answered now.
answered() {
    answered_tries=$((${answered_tries:-0} + 1))
    [ "$(status_of "ordinary-$answered_tries-$$" "$1")" = 200 ]
}
operators_answer() { http_get "$1/healthz" | grep -q ok; }

# What a process may keep beside what it held before the crowd came: tables that are bounded by an eighth of
# the memory, and what the allocator does not give back.
KEPT_KB=$((1024 * MEMORY_MB / 4))
resident_kb() { grep VmRSS "/proc/$PID/status" | grep -o '[0-9]*'; }
memory_is_back() { [ "$(resident_kb)" -le $((before_kb + KEPT_KB)) ]; }
descriptors() { find "/proc/$PID/fd" -mindepth 1 | wc -l; }
few_descriptors() { [ "$(descriptors)" -le $((before + OTHER_DESCRIPTORS)) ]; }

if [ "$ROLE" = proxy ]; then start_proxy_with_engines; else start_entry_with_agent; fi
head -c 4194304 /dev/zero | tr '\0' 'x' >"$LARGE_BODY"
wait_for answered '{"slot":17}'
before=$(descriptors)
before_kb=$(resident_kb)

"$BIN/camphorrail_crowd" "--address=$ADDRESS" "--pid=$PID" "--load=$LOAD" "--clients=$CLIENTS" \
    "--path=$REQUEST_PATH" "--field=Host: desk.example" "--field=Authorization: Bearer $TEAM_KEY" \
    "--field=Request-Id: $REQUEST_NAME" "--field=Idempotency-Key: crowd-{number}" >"$OUT/crowd.txt"
cat "$OUT/crowd.txt"
value_of() { grep -o "$1=[0-9]*" "$OUT/crowd.txt" | cut -d= -f2; }

kill -0 "$PID" 2>/dev/null || fail "the process has ended"
[ "$(value_of memory_kb)" -le $((1024 * MEMORY_MB)) ] ||
    fail "the process has used $(value_of memory_kb) KB of $MEMORY_MB MB"
if [ "$ROLE" = entry ]; then
    agent_kb=$(grep VmHWM "/proc/$PID_agent_slots_1/status" | grep -o '[0-9]*')
    [ "$agent_kb" -le $((1024 * UPSTREAM_MEMORY_MB)) ] ||
        fail "the agent has used $agent_kb KB of $UPSTREAM_MEMORY_MB MB"
fi
[ "$(value_of descriptors)" -le $((before + DESCRIPTORS_PER_CLIENT * CLIENTS + OTHER_DESCRIPTORS)) ] ||
    fail "$(value_of descriptors) descriptors were open, $before before"
[ "$(wc -c <"$LOG")" -le $((1024 * LOG_KB)) ] || fail "$(wc -c <"$LOG") bytes were logged"
wait_for answered '{"slot":17}' || fail "an ordinary request is not answered"
wait_for operators_answer "$([ "$ROLE" = proxy ] && proxy_operators_of 0 || entry_operators_of 0)"
wait_for few_descriptors || fail "$(descriptors) descriptors are still open, $before before"
wait_for memory_is_back || fail "$(resident_kb) KB are still used, $before_kb before"
echo "used_before_kb=$before_kb used_after_kb=$(resident_kb)"
wait_for answered "@$LARGE_BODY" || fail "a single large body is not served"
kill -0 "$PID" 2>/dev/null || fail "the process has ended"
