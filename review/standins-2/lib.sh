# Functions of the scripts of the second review: a small deployment on loopback. Sourced from the
# repository's root, with CASE set to the folder of the case.
#
# shellcheck shell=sh
STANDIN=target/review-2/standin
TROUBLE=${TROUBLE:-1}
TMP=$(mktemp -d)
RECORD=$CASE/record.txt
KEY=ctnfzs989anu6wsjnban
PIDS=""
FRONTS=""

[ -x "$STANDIN" ] && [ -x target/bin/camphorrail ] || {
    echo "not built: the build of the deploy file and review/build-2.sh come first" >&2
    exit 2
}

# start NAME COMMAND...: a process in the background; its id is kept as PID_NAME.
start() {
    name=$1
    shift
    "$@" >>"$TMP/$name.out" 2>&1 &
    eval "PID_$name=$!"
    PIDS="$PIDS $!"
}

# broken: the rule was broken.
broken() {
    step "BROKEN"
    BROKEN=yes
    exit 1
}

# end_all: ends what was started, and writes the record in the order of time. A script that ends with 1
# for any other reason could not run.
end_all() {
    status=$?
    for pid in $PIDS; do kill -CONT "$pid" 2>/dev/null || true; kill "$pid" 2>/dev/null || true; done
    sleep 0.5
    for pid in $PIDS; do kill -9 "$pid" 2>/dev/null || true; done
    cat "$TMP"/store.out "$TMP"/engine*.out "$TMP"/load*.out "$TMP"/steps.out 2>/dev/null |
        sort -n -s -k1,1 >"$RECORD" || true
    rm -rf "$TMP"
    [ "$status" != 1 ] || [ -n "${BROKEN:-}" ] || status=2
    trap - EXIT
    exit "$status"
}
trap end_all EXIT
# A shell that a signal ends does not run what is set for its exit.
trap 'exit 2' HUP INT PIPE TERM

step() { echo "$("$STANDIN" now) $*" | tee -a "$TMP/steps.out"; }

PORTS=$("$STANDIN" ports 32)
take_port() {
    PORT=$(echo "$PORTS" | head -n 1)
    PORTS=$(echo "$PORTS" | tail -n +2)
}

start_store() {
    take_port
    STORE=$PORT
    start store "$STANDIN" store "$STORE"
    wait_for 5 "$STANDIN" get "$STORE" "/kv-range?prefix=op/"
}

# operator_puts KEY VALUE: the answer of the store is the ack.
operator_puts() { "$STANDIN" put "$STORE" "$1" "$2" || exit 2; }

# start_engine NUMBER SERVICE MODELS [FIRST-EVENT-MS]
start_engine() {
    take_port
    eval "ENGINE_$1=$PORT"
    start "engine$1" "$STANDIN" engine "$PORT" "$STORE" "i-$1" "$2" "$3" 32 "${4:-0}"
}

# start_front NUMBER: an entry with the settings that the template of the deploy file gives it.
start_front() {
    take_port; front=$PORT
    take_port; ready=$PORT
    take_port; operators=$PORT
    take_port; peers=$PORT
    FRONTS="$FRONTS $front"
    eval "READY_$1=$ready"
    cat >"$TMP/front$1.yaml" <<YAML
role: proxy
id: "front-a-$1"
availability_zone: "a"
listen: "$front"
ready_listen: "$ready"
operators_listen: "$operators"
peer_listen: "$peers"
platform:
  endpoint: "$STORE"
  poll_ms: 1000
  timeout_ms: 800
  agreements: [base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform]
limits:
  memory_mb: 110
bounds:
  revoke_ms: 5000
  drain_ms: 2000
  grace_s: 8
  retry_ratio: 0.2
  retry_slack: 52
  retry_window_s: 10
  lease_ms: 3000
  outdated_weights_ms: 8000
YAML
    run_front "$1"
}

run_front() {
    start "front$1" env "CAMPHORRAIL_SETTINGS=$TMP/front$1.yaml" target/bin/camphorrail proxy
}

# wait_for SECONDS COMMAND...
wait_for() {
    tries=$(($1 * 10))
    shift
    while ! "$@" >/dev/null 2>&1; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || { echo "gave up waiting for: $*" >&2; exit 2; }
        sleep 0.1
    done
}

# share_of TAG FROM [TO]: of the requests with the tag and a number of FROM to TO, how many in a
# hundred got a whole answer of an engine.
share_of() {
    awk -v tag="$1" -v from="$2" -v to="${3:-1000000}" '$2 == "answered" { split($3, id, "-") }
        $2 == "answered" && id[1] == tag && id[2] + 0 >= from + 0 && id[2] + 0 <= to + 0 {
            ++all
            served += $4 == 200 && /by an engine/
        }
        END { printf "%d", all ? 100 * served / all : 0 }' "$TMP"/load*.out
}
