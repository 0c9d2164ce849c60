#!/bin/sh
# The operator takes the only tenant away, and its key with it. Exits with 1 if requests with that key, sent
# more than revokeMs after the ack, run.
set -eu
cd "$(dirname "$0")/../.."
CASE=review/5
. review/standins-2/lib.sh
REVOKE_MS=5000
# What the configuration holds as its tenants after the change.
TENANTS_AFTER=${TENANTS_AFTER:-[]}

# put_config VERSION TENANTS
put_config() {
    operator_puts op/config "{\"version\":$1,\"routes\":[{\"name\":\"confirm\",\"host\":\"desk.example\",\"prefix\":\"/confirm/\",\
\"kind\":\"unsafe\",\"timeoutMs\":1000,\"targetLatencyMs\":100,\"priority\":2,\"service\":\"booking-app\",\"attempts\":1,\
\"public\":false,\"sticky\":false,\"resumable\":false}],\
\"services\":[{\"name\":\"booking-app\",\"healthPath\":\"/health\",\"maxConns\":96}],\
\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\
\"tenants\":$2}"
}
start_store
put_config 7 "[{\"name\":\"north\",\"keys\":[\"$KEY\"],\"priority\":0,\"isolated\":false}]"
for number in 1 2 3; do start_engine $number booking-app none; done
for number in 1 2 3; do start_front $number; done
for number in 1 2 3; do
    eval "ready=\$READY_$number"
    wait_for 10 "$STANDIN" get "$ready" /readiness
done
sleep 3.5

# 30 kept channels of requesters with the key: a request at once, and another 9 s later, which is less
# than four fifths of idleTimeoutMs.
# shellcheck disable=SC2086
start load "$STANDIN" kept 9 30 600 600 "$KEY" desk.example /confirm/ $FRONTS
sleep 2
ACK=""
if [ "$TROUBLE" != 0 ]; then
    step "the operator takes the tenant north away"
    put_config 8 "$TENANTS_AFTER"
    ACK=$("$STANDIN" now)
    step "acknowledged"
fi
wait "$PID_load" || true
# New channels: the key that was taken away, and a key that no configuration has held.
# shellcheck disable=SC2086
start loadold "$STANDIN" kept 0.1 12 600 600 "$KEY" desk.example /confirm/ $FRONTS
wait "$PID_loadold" || true
# shellcheck disable=SC2086
start loadnever "$STANDIN" kept 0.1 12 600 600 neverheld desk.example /confirm/ $FRONTS
wait "$PID_loadnever" || true

# count FILE TAG STATUS
count() { grep -h -a "^[0-9]* answered $2-[0-9]* $3" "$TMP/$1.out" | wc -l; }
step "kept channels: $(count load first 200) of 30 served before; later $(count load second 200) served, $(count load second 401) refused with 401"
step "new channels with the key: $(($(count loadold first 200) + $(count loadold second 200))) of 24 served, $(($(count loadold first 401) + $(count loadold second 401))) refused with 401"
step "new channels with a key that no configuration held: $(($(count loadnever first 200) + $(count loadnever second 200))) of 24 served, $(($(count loadnever first 401) + $(count loadnever second 401))) refused with 401"
[ "$(count load first 200)" -eq 30 ] || exit 2
if [ -z "$ACK" ]; then
    [ "$(count load second 200)" -eq 30 ] || exit 2
    [ "$(count loadnever first 200)" -eq 0 ] || broken
    step "HELD"
    exit 0
fi
# Requests with the key that were sent later than revokeMs after the ack, and that an engine ran.
grep -h -a "^[0-9]* sent " "$TMP/load.out" | awk -v from=$((ACK + REVOKE_MS)) '$1 > from { print $3 }' |
    grep second >"$TMP/late"
[ "$(wc -l <"$TMP/late")" -eq 30 ] || exit 2
ran=0
while read -r request; do
    if grep -q -a -h " runs $request " "$TMP"/engine*.out; then ran=$((ran + 1)); fi
done <"$TMP/late"
step "$ran of 30 requests on kept channels ran though they were sent more than $REVOKE_MS ms after the ack"
[ "$ran" -eq 0 ] || broken
step "HELD"
