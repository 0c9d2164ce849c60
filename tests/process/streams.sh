# Streams at engines of several software versions; sourced after lib.sh. Each event names the version of its
# engine.
#
# shellcheck shell=sh
TEAM_KEY=first-key
EVENTS=40
mkdir -p "$OUT/streams"

# start_version VERSION NUMBER... [-- OPTION...]: engines of the pool with this version of their software.
start_version() {
    software=$1
    shift
    numbers=""
    while [ $# -gt 0 ] && [ "$1" != -- ]; do
        numbers="$numbers $1"
        shift
    done
    [ $# -gt 0 ] && shift
    for number in $numbers; do
        start_platform_engine "pool-$number" "$number" pool "--events=$EVENTS" "--software=$software" "$@"
    done
}

# start_two_versions [OPTION...]: four engines of v1 and four of v1.1, and three entries that know them.
start_two_versions() {
    start_store
    put_config 3
    start_version v1 1 2 3 4 -- "$@"
    start_version v1.1 5 6 7 8 -- "$@"
    ENGINES="pool-1 pool-4 pool-5 pool-8"
    start_entries 0 1 2
}

# stop_engine NUMBER...: these engines end at once, and the list lacks them.
stop_engine() {
    for number in "$@"; do
        eval "kill -9 \$PID_engine_pool_$number"
        curl -s -m 5 "http://$STORE/kv-txn" -o /dev/null \
            -d "{\"expected\":[],\"puts\":[],\"deletes\":[\"servers/pool-$number\"]}"
    done
}

# start_entries NUMBER...: entries that know these engines of the pool: ENGINES="pool-1 pool-2".
start_entries() {
    for number in "$@"; do start_proxy "entry-$((number + 1))" "$number"; done
    for number in "$@"; do
        wait_for ready "$(proxy_operators_of "$number")"
        # shellcheck disable=SC2086
        wait_for proxy_lists "$number" $ENGINES
    done
    for number in "$@"; do wait_for stream_served "$number"; done
}

# stream_served ENTRY: whether an entry begins streams now.
stream_served() {
    probes=$((${probes:-0} + 1))
    curl -sN -m 0.3 "http://$(proxy_of "$1")/stream/x" -H "Host: desk.example" -d "probe $probes" \
        -H "Authorization: Bearer $TEAM_KEY" -H "Request-Id: probe-$1-$$-$probes" | grep -q '^data:'
}

# read_stream NAME SECONDS ENTRY...: a client of a stream. It gives each try but the last these seconds and takes
# the stream up at the next entry. What it has got lies in $OUT/streams/NAME, and the last status in NAME.status.
read_stream() {
    (
        got=$OUT/streams/$1
        name=$1
        seconds=$2
        shift 2
        : >"$got"
        begun_by=""
        last=0
        tries=0
        while [ $# -gt 0 ] && [ "$last" -lt "$EVENTS" ]; do
            tries=$((tries + 1))
            limit=$seconds
            [ $# = 1 ] && limit=20
            send_try "$1" "$name-$tries" "$limit"
            shift
        done
    )
}

# send_try ENTRY REQUEST-ID SECONDS: one try of read_stream.
send_try() {
    if [ -n "$begun_by" ]; then
        set -- "$@" -H "Resumes: $begun_by" -H "Last-Event-Id: $last"
    fi
    entry=$1
    try=$2
    limit=$3
    shift 3
    # Each client sends a prompt of its own: one that all send is quarantined when two engines are killed under it.
    curl -sN -m "$limit" "http://$(proxy_of "$entry")/stream/x" -H "Host: desk.example" -d "prompt of $name" \
        -H "Authorization: Bearer $TEAM_KEY" -H "Request-Id: $try" "$@" -o "$got.part" \
        -w '%{http_code}\n' >"$got.status" || true
    touch "$got.part"
    grep '^data:' "$got.part" >>"$got" || true
    now=$(grep -c '^data:' "$got" || true)
    [ "$now" -gt 0 ] && [ -z "$begun_by" ] && begun_by=$try
    last=$now
    # A client that is refused comes again a moment later.
    grep -q '^503' "$got.status" && sleep 0.3
    rm -f "$got.part"
}

# read_streams COUNT NAME SECONDS ENTRY...: so many clients at once; waits for none of them.
read_streams() {
    count=$1
    prefix=$2
    shift 2
    CLIENTS=""
    for each in $(seq 1 "$count"); do
        read_stream "$prefix-$each" "$@" &
        CLIENTS="$CLIENTS $!"
    done
}

# continue_streams NAME: the clients of twenty streams come again with what they had got.
continue_streams() {
    CLIENTS=""
    for each in $(seq 1 20); do
        (
            name=$1-$each
            got=$OUT/streams/$name
            begun_by=$name-1
            last=$(grep -c '^data:' "$got" || true)
            tries=10
            for entry in 0 1 2; do
                tries=$((tries + 1))
                [ "$last" -gt 0 ] && [ "$last" -lt "$EVENTS" ] && send_try "$entry" "$name-$tries" 20
            done
            true
        ) &
        CLIENTS="$CLIENTS $!"
    done
    wait_clients
}

# shellcheck disable=SC2086
wait_clients() { wait $CLIENTS; }

# versions_of NAME: the versions whose events a stream holds.
versions_of() { grep -o '^data: [^ ]*' "$OUT/streams/$1" | sort -u; }

# whole_streams NAME: how many streams hold each event once.
whole_streams() {
    whole=0
    for stream in "$OUT/streams/$1"-*[0-9]; do
        wanted=$(seq 1 "$EVENTS" | sed 's/^/word/' | tr '\n' ' ')
        [ "$(grep -o 'word[0-9]*' "$stream" | tr '\n' ' ')" = "$wanted" ] && whole=$((whole + 1))
    done
    echo "$whole"
}

# mixed_streams NAME: how many streams hold events of two versions.
mixed_streams() {
    mixed=0
    for stream in "$OUT/streams/$1"-*[0-9]; do
        [ "$(versions_of "$(basename "$stream")" | wc -l)" -gt 1 ] && mixed=$((mixed + 1))
    done
    echo "$mixed"
}

# expect_unmixed NAME: no stream holds events of two versions.
expect_unmixed() { expect_equal "streams $1 with events of two versions" 0 "$(mixed_streams "$1")"; }

# expect_whole NAME LEAST: so many streams, or more, are whole.
expect_whole() {
    whole_now=$(whole_streams "$1")
    [ "$whole_now" -ge "$2" ] || fail "streams $1: $whole_now are whole, wanted $2"
}
