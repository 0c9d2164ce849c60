# A fleet of six entries and one client of plain calls an entry; sourced after lib.sh. Request ids name the entry
# that a call went to.
#
# shellcheck shell=sh
TEAM_KEY=first-key
ENTRY_COUNT=6

start_entries() {
    for number in "$@"; do start_proxy "entry-$((number + 1))" "$number"; done
}

# start_all_entries ENGINE...: returns once all entries are ready and list these engines.
start_all_entries() {
    start_entries $(seq 0 $((ENTRY_COUNT - 1)))
    for number in $(seq 0 $((ENTRY_COUNT - 1))); do
        wait_for ready "$(proxy_operators_of "$number")"
        wait_for proxy_lists "$number" "$@"
    done
}

now_ms() { date +%s%3N; }

# send_calls: one client an entry, until stop_calls; a client whose entry is away goes on asking it. The time and
# status of each call lie in $OUT/statuses-ENTRY.
send_calls() {
    : >"$OUT/calling"
    CLIENTS=""
    for number in $(seq 0 $((ENTRY_COUNT - 1))); do
        (
            sent=0
            while [ -f "$OUT/calling" ]; do
                sent=$((sent + 1))
                status=$(send "$number" /status/x "call-$number-$sent" -o /dev/null -m 3 | tail -n 1)
                echo "$(now_ms) $status" >>"$OUT/statuses-$number"
                sleep 0.08
            done
        ) &
        CLIENTS="$CLIENTS $!"
    done
}

# shellcheck disable=SC2086
stop_calls() {
    rm -f "$OUT/calling"
    wait $CLIENTS
}

# most_within WINDOW_MS: the most of the given times, in order, within any window.
most_within() {
    awk -v window="$1" '
        { times[NR] = $1; while (times[NR] - times[first + 1] >= window) first++
          if (NR - first > most) most = NR - first }
        END { print most + 0 }'
}
