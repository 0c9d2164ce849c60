#!/bin/sh
# Starts a small fleet as separate processes on loopback, sends both workloads and one slot
# confirmation twice, shows what came of it, and stops everything it started.
set -eu
BUILD=${1:-build}
BIN=$BUILD/bin
PORT_BASE=18100
OUT=out/demo
rm -rf "$OUT"
mkdir -p "$OUT"
. "$(dirname "$0")/fleet.sh"
trap stop_fleet EXIT INT TERM

start_kv
for number in 1 2 3; do
    start_engine "pool-$number" $number
    start_agent "pool-$number" $number
done
start_service slots-1 4
start_agent slots-1 4
start_entry entry-1 0
start_entry entry-2 1

ctl team add blue-mahoe desk "--key=$TEAM_KEY" --priority=7 --first-token-ms=620
ctl team add ikawa line --key=line-secret --priority=5 --first-token-ms=2000
ctl model set desk-8b w1
for number in 1 2 3; do
    ctl upstream add "pool-$number" "--link=$(link_of $number)" --serves=desk-8b
done
ctl upstream add slots-1 "--link=$(link_of 4)" --serves=slots --service --not-repeatable
ctl preset add peak --lowest-priority=3
for operators in "$(entry_operators_of 0)" "$(entry_operators_of 1)" "$(agent_operators_of 4)"; do
    wait_for ready "$operators"
done
sleep 1.5

# ask ENTRY KEY AGENCY HISTORY QUESTION: one streamed chat request with a nested prefix.
ask() {
    long=$(head -c 12000 /dev/zero | tr '\0' "$(printf '%s' "$3" | cut -c1)")
    curl -sN -m 20 "http://$(entry_of "$1")/v1/chat/completions" -H "Authorization: Bearer $2" \
        -d "{\"model\":\"desk-8b\",\"stream\":true,\"stream_options\":{\"include_usage\":true},
             \"max_tokens\":6,\"messages\":[{\"role\":\"system\",\"content\":\"$3 $long\"},
             {\"role\":\"user\",\"content\":\"$4\"},{\"role\":\"user\",\"content\":\"$5\"}]}"
}

echo "--- a stream of Blue Mahoe's (agency, history, request)"
ask 0 "$TEAM_KEY" kingston-pier "booking 1: wheelchair" "tag the need"
echo "--- the same agency and history through the other entry"
ask 1 "$TEAM_KEY" kingston-pier "booking 1: wheelchair" "draft a reply" | tail -n 4
echo "--- a stream of Ikawa's (recipe, log, question)"
ask 0 line-secret recipe-70-dark "log: 31.2 31.4 31.1" "pass or hold" | tail -n 4
for round in 1 2 3 4 5 6 7 8; do
    ask $((round % 2)) "$TEAM_KEY" kingston-pier "booking $round" "tag the need" >/dev/null
    ask $((round % 2)) line-secret recipe-70-dark "log $round" "pass or hold" >/dev/null
done

echo "--- one slot confirmation, sent twice through two entries with one Idempotency-Key"
for entry in 0 1; do
    curl -s -m 20 "http://$(entry_of $entry)/services/slots/confirm" -d '{"slot":17}' \
        -H "Authorization: Bearer $TEAM_KEY" -H "Idempotency-Key: slot-17-gate-4"
    echo
done
echo "runs at the service: $(http_get "$(upstream_of 4)/admin/runs")"

echo "--- prefix hit rate and time to first token"
for entry in 0 1; do
    http_get "$(entry_operators_of $entry)/metrics" >>"$OUT/metrics.txt"
done
awk '/^camphorrail_prompt_tokens_total/ {prompt += $2}
     /^camphorrail_cached_tokens_total/ {cached += $2}
     /^camphorrail_first_token_seconds_sum/ {sum += $2}
     /^camphorrail_first_token_seconds_count/ {count += $2}
     END {printf "hit rate %.2f of %d prompt tokens; mean time to first token %.1f ms over %d streams\n",
          cached / prompt, prompt, 1000 * sum / count, count}' "$OUT/metrics.txt"

"$BIN/camphorrail" timeline "--out=$OUT/timeline.json" \
    "$(entry_operators_of 0)" "$(entry_operators_of 1)" \
    "$(agent_operators_of 1)" "$(agent_operators_of 2)" "$(agent_operators_of 3)" "$(agent_operators_of 4)"
echo "--- the time line of all processes: $OUT/timeline.json"
