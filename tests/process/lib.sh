# What the stories share: sourced first, as  . "$(dirname "$0")/lib.sh"
#
# shellcheck shell=sh
set -eu
BIN=$1
OUT=$(mktemp -d)

# A block of 300 ports that no other story holds, in this run or another on the same machine. They lie
# below the ports that the kernel gives to outgoing connections. One story at a time looks for a block:
# otherwise one could take a lock for left behind and remove it after another has made it anew.
claim_ports() {
    exec 9>>"${TMPDIR:-/tmp}/camphorrail-ports.lock"
    flock 9
    for block in $(seq 0 39); do
        PORT_LOCK=${TMPDIR:-/tmp}/camphorrail-ports-$block
        owner=$(cat "$PORT_LOCK/pid" 2>/dev/null || true)
        if [ -n "$owner" ] && ! kill -0 "$owner" 2>/dev/null; then
            # Left by a run that was cut off.
            rm -rf "$PORT_LOCK"
        fi
        if mkdir "$PORT_LOCK" 2>/dev/null; then
            echo $$ >"$PORT_LOCK/pid"
            PORT_BASE=$((20000 + 300 * block))
            exec 9>&-
            return 0
        fi
    done
    echo "no free block of ports" >&2
    exit 1
}
claim_ports
. "$(dirname "$0")/../../scripts/fleet.sh"

finish() {
    status=$?
    stop_fleet
    if [ "$status" != 0 ]; then
        for log in "$OUT"/*.log; do
            echo "== $log"
            tail -n 5 "$log"
        done
    fi
    rm -rf "$OUT" "$PORT_LOCK"
}
trap finish EXIT

fail() {
    echo "FAILED: $*" >&2
    exit 1
}

# expect_equal WHAT WANTED GOT
expect_equal() { [ "$2" = "$3" ] || fail "$1: wanted '$2', got '$3'"; }

# expect_in WHAT PART WHOLE
expect_in() {
    case "$3" in
    *"$2"*) ;;
    *) fail "$1: no '$2' in '$3'" ;;
    esac
}

# complete ENTRY PROMPT MAX-TOKENS: a streamed completion; prints the events.
complete() {
    curl -sN -m "${CURL_SECONDS:-30}" "http://$(entry_of "$1")/v1/completions" -H "Authorization: Bearer $TEAM_KEY" \
        -d "{\"model\":\"desk-8b\",\"stream\":true,\"max_tokens\":$3,\"prompt\":\"$2\"}"
}

# confirm ENTRY KEY [SECONDS]: a call that must not run twice; prints the answer.
confirm() {
    curl -s -m "${3:-30}" "http://$(entry_of "$1")/services/slots/confirm" -d '{"slot":17}' \
        -H "Authorization: Bearer $TEAM_KEY" -H "Idempotency-Key: $2" || true
}

# words STREAM: the tokens of a stream, on one line.
words() { grep -o '"text":"[^"]*"' | cut -d'"' -f4 | tr -d '\n'; }

# runs_of KEY SERVICE-NUMBER...: how often the call ran, over the services.
runs_of() {
    key=$1
    shift
    total=0
    for number in "$@"; do
        runs=$(http_get "$(upstream_of "$number")/admin/runs" | grep -o "\"blue-mahoe/$key\":[0-9]*" | grep -o '[0-9]*$' || true)
        total=$((total + ${runs:-0}))
    done
    echo "$total"
}

# engine_stat NUMBER NAME
engine_stat() {
    http_get "$(upstream_of "$1")/admin/stats" | grep -o "\"$2\":[0-9]*" | grep -o '[0-9]*$'
}

# add_team, add_engine NUMBER, add_slots NUMBER: configuration for the stand-ins.
add_team() { ctl team add blue-mahoe desk "--key=$TEAM_KEY" --priority=7 --first-token-ms=5000 >/dev/null; }
add_engine() { ctl upstream add "pool-$1" "--link=$(link_of "$1")" --serves=desk-8b >/dev/null; }
add_slots() { ctl upstream add "slots-$1" "--link=$(link_of "$1")" --serves=slots --service --not-repeatable >/dev/null; }

# served ENTRY: whether a completion goes through now.
served() { complete "$1" "ready?" 1 | grep -q 'DONE'; }
# confirmed ENTRY: whether confirmations go through now; each try uses a new key.
confirmed() {
    tries_confirmed=$((${tries_confirmed:-0} + 1))
    confirm "$1" "warm-up-$tries_confirmed" | grep -q '"done":true'
}

# status_with ENTRY KEY: the status that an entry of the platform gives a plain call with this key.
status_with() {
    (
        TEAM_KEY=$2
        send "$1" /status/x "status-$(date +%s%N)" -o /dev/null -m 5 | tail -n 1
    )
}

# all_at STATUS KEY ENTRY...: whether each of these entries gives calls with this key this status.
all_at() {
    wanted_status=$1
    asked_key=$2
    shift 2
    for number in "$@"; do
        [ "$(status_with "$number" "$asked_key")" = "$wanted_status" ] || return 1
    done
}

# expect_status_in "STATUS..." KEY ENTRY...: each of these entries gives calls with this key one of them.
expect_status_in() {
    allowed_statuses=$1
    asked_key=$2
    shift 2
    for number in "$@"; do
        got=$(status_with "$number" "$asked_key")
        case " $allowed_statuses " in
        *" $got "*) ;;
        *) fail "entry $number gives $asked_key $got, not one of: $allowed_statuses" ;;
        esac
    done
}

# store_holds KEY...: whether the platform's store holds all of these.
store_holds() {
    for key in "$@"; do
        http_get "$STORE/kv-key?key=$key" | grep -q '"value"' || return 1
    done
}

# start_proxies NUMBER...: entries of the platform, each ready and with both engines of the pool slots.
# When it returns, they have written to the store what they write on their own.
start_proxies() {
    for number in "$@"; do start_proxy "entry-$((number + 1))" "$number"; done
    for number in "$@"; do
        wait_for ready "$(proxy_operators_of "$number")"
        wait_for proxy_lists "$number" slots-1 slots-2
        wait_for store_holds "camphorrail/entries/entry-$((number + 1))"
    done
    wait_for store_holds camphorrail/leader camphorrail/orderer
}

# restore_store: the store answers nothing for 1.2 s, longer than entries take to verify what they know, and
# returns from its copy.
restore_store() {
    store_admin away
    sleep 1.2
    store_admin return
}
