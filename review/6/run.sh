#!/bin/sh
# Two engines crash, 0.4 s apart, while few requests are under way, and all processes are killed some
# seconds later. Exits with 1 if less than a quarter of the requests is served 12 s after that.
set -eu
cd "$(dirname "$0")/../.."
CASE=review/6
. review/standins-2/lib.sh

# put_config VERSION
put_config() {
    operator_puts op/config "{\"version\":$1,\"routes\":[{\"name\":\"draft\",\"host\":\"desk.example\",\"prefix\":\"/draft/\",\
\"kind\":\"stream\",\"timeoutMs\":15000,\"targetLatencyMs\":2000,\"gapTargetMs\":250,\"priority\":0,\
\"service\":\"lm-pool\",\"attempts\":1,\"public\":false,\"sticky\":true,\"resumable\":true}],\
\"services\":[{\"name\":\"lm-pool\",\"healthPath\":\"/health\",\"maxConns\":230,\"engine\":{\"slots\":32,\
\"kvCapacityTokens\":102461,\"kvTokenBytes\":192512,\"linkMbps\":350000.0,\"models\":[{\"name\":\"m0\"}]}}],\
\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\
\"tenants\":[{\"name\":\"north\",\"keys\":[\"$KEY\"],\"priority\":0,\"isolated\":false}]}"
}
# send FRONT-NUMBER ID BODY: a stream whose prompt begins with the part that all prompts begin with.
send() {
    front=$(echo "$FRONTS" | cut -d ' ' -f "$(($1 + 1))")
    start "load$2" "$STANDIN" send "$front" "draft-$2" "$KEY" desk.example /draft/ m0 5c1e07a2 "$3"
}
# crash_engine_of ID: kills the engine that runs the request now.
crash_engine_of() {
    number=$(grep -h -a " runs draft-$1 " "$TMP"/engine*.out | tail -n 1 | sed 's/.* i-\([0-9]*\) runs.*/\1/')
    [ -n "$number" ] || exit 2
    eval "kill -9 \$PID_engine$number"
    step "engine i-$number crashes"
}

start_store
put_config 7
operator_puts op/version/m0 '{"model":"m0","version":1}'
for number in 1 2 3 4 5 6; do start_engine $number lm-pool m0 1500; done
for number in 1 2 3; do start_front $number; done
wait_ready() {
    for number in 1 2 3; do
        eval "ready=\$READY_$number"
        wait_for 10 "$STANDIN" get "$ready" /readiness
    done
}
wait_ready
sleep 4

# A request a second, each with a body of its own.
for number in 1 2 3 4 5 6 7 8 9 10; do
    send $((number % 3 + 1)) $number "10 body $number"
    sleep 1
done
sleep 4
if [ "$TROUBLE" != 0 ]; then
    send 1 11 "10 body 11"
    sleep 0.4
    crash_engine_of 11
    sleep 0.1
    send 2 12 "10 body 12"
    sleep 0.3
    crash_engine_of 12
    sleep 2
    for number in 7 8; do start_engine $number lm-pool m0 1500; done
    sleep 3
    put_config 8
    step "all entries are killed"
    for number in 1 2 3; do eval "kill -9 \$PID_front$number"; done
    sleep 1.2
    for number in 1 2 3; do run_front $number; done
    wait_ready
    step "all entries are back"
fi
# recoverS is 12; the traffic goes on through the recovery.
for number in $(seq 21 40); do
    send $((number % 3 + 1)) "$number" "10 body $number"
    sleep 1
done
sleep 4
step "of 100 requests served: $(share_of draft 1 12) before the final fault, $(share_of draft 34) from 13 s after it"
if [ "$(share_of draft 1 12)" -ge 25 ] && [ "$(share_of draft 34)" -lt 25 ]; then
    broken
fi
[ "$(share_of draft 34)" -gt 50 ] || exit 2
step "HELD"
