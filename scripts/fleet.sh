# Functions to start and stop a small fleet on loopback; sourced by the demo and the process tests.
# Every process started here is remembered by its id, and only those are ever ended.
#
# shellcheck shell=sh disable=SC2086

PIDS=""
OUT=${OUT:-$(mktemp -d)}
PORT_BASE=${PORT_BASE:-18100}
KV=127.0.0.1:$((PORT_BASE + 70))
TEAM_KEY=desk-secret

# LAUNCHER, if set, is a command that runs agents and entries, such as one that lowers their limits.
LAUNCHER=${LAUNCHER:-}

# start NAME COMMAND...: runs a process in the background and remembers its id as PID_NAME.
start() {
    name=$1
    shift
    "$@" >>"$OUT/$name.log" 2>&1 &
    eval "PID_$(echo "$name" | tr -c "a-zA-Z0-9\n" _)=$!"
    PIDS="$PIDS $!"
}

# stop_fleet: ends what was started, politely first.
stop_fleet() {
    for pid in $PIDS; do kill -CONT "$pid" 2>/dev/null || true; kill "$pid" 2>/dev/null || true; done
    for _ in 1 2 3 4 5 6 7 8 9 10; do
        alive=""
        for pid in $PIDS; do kill -0 "$pid" 2>/dev/null && alive=yes; done
        [ -z "$alive" ] && break
        sleep 0.1
    done
    for pid in $PIDS; do kill -9 "$pid" 2>/dev/null || true; done
    PIDS=""
}

# wait_for COMMAND...: tries a command until it succeeds, for ten seconds at most.
wait_for() {
    tries=0
    until "$@" >/dev/null 2>&1; do
        tries=$((tries + 1))
        [ "$tries" -ge 100 ] && { echo "gave up waiting for: $*" >&2; return 1; }
        sleep 0.1
    done
}

http_get() { curl -s -m 5 "http://$1"; }

start_kv() {
    start kv "$BIN/camphorrail_standin" key_value "--listen=$KV"
    wait_for http_get "$KV/admin/calls"
}

ctl() { "$BIN/camphorrail" ctl "--platform=$KV" "$@"; }

# start_engine ID NUMBER [ENGINE-OPTION...]: an engine stand-in on port +10*N+3.
start_engine() {
    id=$1
    number=$2
    shift 2
    start "engine_$id" "$BIN/camphorrail_standin" engine \
        "--listen=127.0.0.1:$((PORT_BASE + 100 + 10 * number + 3))" "$@"
}

# start_service ID NUMBER [OPTION...]: a plain service stand-in.
start_service() {
    id=$1
    number=$2
    shift 2
    start "service_$id" "$BIN/camphorrail_standin" service \
        "--listen=127.0.0.1:$((PORT_BASE + 100 + 10 * number + 3))" "$@"
}

# start_agent ID NUMBER: the agent beside upstream NUMBER, on ports +1 (links) and +2 (operators).
start_agent() {
    base=$((PORT_BASE + 100 + 10 * $2))
    cat >"$OUT/$1.yaml" <<YAML
role: agent
id: $1
availability_zone: zone-$(($2 % 3))
listen: 127.0.0.1:$((base + 1))
operators_listen: 127.0.0.1:$((base + 2))
upstream: 127.0.0.1:$((base + 3))
platform:
  endpoint: $KV
  timeout_ms: 1000
  poll_ms: 1000
limits:
  request_timeout_ms: ${REQUEST_TIMEOUT_MS:-30000}
YAML
    start "agent_$1" $LAUNCHER "$BIN/camphorrail" agent "$OUT/$1.yaml"
}

# start_entry ID NUMBER [EXTRA-YAML]: callers' port +0, operators' port +1 of PORT_BASE + 2*N.
start_entry() {
    base=$((PORT_BASE + 2 * $2))
    cat >"$OUT/$1.yaml" <<YAML
role: entry
id: $1
availability_zone: zone-$(($2 % 3))
listen: 127.0.0.1:$base
operators_listen: 127.0.0.1:$((base + 1))
platform:
  endpoint: $KV
  timeout_ms: 1000
limits:
  request_timeout_ms: ${REQUEST_TIMEOUT_MS:-30000}
${3:-}
YAML
    start "entry_$1" $LAUNCHER "$BIN/camphorrail" entry "$OUT/$1.yaml"
}

# The users' platform: a metadata store, engines that list themselves there, and entries without agents.
STORE=127.0.0.1:$((PORT_BASE + 71))

start_store() {
    start store "$BIN/camphorrail_standin" metadata_store "--listen=$STORE"
    wait_for http_get "$STORE/kv-range?prefix=op/"
}

# store_admin copy|away|return: the store saves a copy of itself, answers nothing any more, or answers
# again from the copy.
store_admin() { curl -sf -m 5 "http://$STORE/admin/$1" -d '' -o /dev/null; }

# put_item KEY VALUE: writes as the operators do.
put_item() {
    value=$(printf %s "$2" | base64 | tr -d '\n')
    curl -s -m 5 "http://$STORE/kv-txn" -o /dev/null \
        -d "{\"expected\":[],\"puts\":[{\"key\":\"$1\",\"value\":\"$value\"}],\"deletes\":[]}"
}

# put_config VERSION: routes for plain calls, calls that must not run twice, and streams. TEAM_QUOTA, if
# set, holds further fields of the team.
put_config() {
    route() {
        printf '{"name":"%s","host":"desk.example","prefix":"/%s/","kind":"%s","timeoutMs":8000,' "$1" "$1" "$2"
        printf '"targetLatencyMs":300,"gapTargetMs":250,"attempts":2,"resumable":%s,"service":"%s"}' "$3" "$4"
    }
    put_item op/config "{\"version\":$1,\"routes\":[$(route confirm unsafe false slots),\
$(route status safe false slots),$(route stream stream true pool)],\
\"services\":[{\"name\":\"slots\"},{\"name\":\"pool\"}],\"limits\":{},\
\"tenants\":[{\"name\":\"desk\",\"keys\":[\"$TEAM_KEY\"]${TEAM_QUOTA:-}}]}"
}

# start_platform_engine ID NUMBER POOL [OPTION...]
start_platform_engine() {
    id=$1
    number=$2
    pool=$3
    shift 3
    start "engine_$id" "$BIN/camphorrail_standin" platform_engine "--id=$id" "--pool=$pool" \
        "--listen=127.0.0.1:$((PORT_BASE + 100 + 10 * number + 3))" "--store=$STORE" "$@"
}

# start_proxy ID NUMBER: callers' port +0, operators' port +1, the balancer's +2 and the links' +3.
# PROXY_BOUNDS, if set, holds further bounds; REVOKE_MS replaces the usual one.
start_proxy() {
    base=$((PORT_BASE + 20 + 4 * $2))
    cat >"$OUT/$1.yaml" <<YAML
role: proxy
id: $1
availability_zone: a
listen: 127.0.0.1:$base
operators_listen: 127.0.0.1:$((base + 1))
ready_listen: 127.0.0.1:$((base + 2))
peer_listen: 127.0.0.1:$((base + 3))
platform:
  endpoint: $STORE
  timeout_ms: 800
bounds:
  revoke_ms: ${REVOKE_MS:-2500}
  grace_s: 5
${PROXY_BOUNDS:-}
YAML
    start "proxy_$1" $LAUNCHER "$BIN/camphorrail" proxy "$OUT/$1.yaml"
}

# start_proxy_fleet: a store, a plain service that loses its answers, two engines, and one entry.
start_proxy_fleet() {
    start_store
    put_config 3
    start_platform_engine slots-1 1 slots --loses=yes
    start_platform_engine pool-1 2 pool --events=30
    start_platform_engine pool-2 3 pool --events=30
    start_proxy entry-1 0
    wait_for ready "$(proxy_operators_of 0)"
}

# proxy_lists PROXY UPSTREAM...: whether an entry knows all of these.
proxy_lists() {
    status=$(http_get "$(proxy_operators_of "$1")/status")
    shift
    for upstream in "$@"; do
        case "$status" in *"$upstream"*) ;; *) return 1 ;; esac
    done
}

proxy_of() { echo "127.0.0.1:$((PORT_BASE + 20 + 4 * $1))"; }
proxy_operators_of() { echo "127.0.0.1:$((PORT_BASE + 20 + 4 * $1 + 1))"; }

# send PROXY PATH REQUEST-ID [CURL-OPTION...]: one request of a caller; prints answer and status.
send() {
    to=$1
    path=$2
    id=$3
    shift 3
    curl -sN -m 20 "http://$(proxy_of "$to")$path" -H "Host: desk.example" -d '{}' \
        -H "Authorization: Bearer $TEAM_KEY" -H "Request-Id: $id" -w '\n%{http_code}\n' "$@" || true
}

link_of() { echo "127.0.0.1:$((PORT_BASE + 100 + 10 * $1 + 1))"; }
upstream_of() { echo "127.0.0.1:$((PORT_BASE + 100 + 10 * $1 + 3))"; }
agent_operators_of() { echo "127.0.0.1:$((PORT_BASE + 100 + 10 * $1 + 2))"; }
entry_of() { echo "127.0.0.1:$((PORT_BASE + 2 * $1))"; }
entry_operators_of() { echo "127.0.0.1:$((PORT_BASE + 2 * $1 + 1))"; }

# ready ADDRESS: whether the process with that operators' port has a configuration.
ready() { [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' "http://$1/readyz")" = 200 ]; }
