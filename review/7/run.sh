#!/bin/sh
# A new configuration allows larger bodies. Exits with 1 if requests on channels that were idle
# meanwhile are refused by the limit of the older one, more than configMs after the ack.
set -eu
cd "$(dirname "$0")/../.."
CASE=review/7
. review/standins-2/lib.sh

# put_config VERSION BODY-BYTES
put_config() {
    operator_puts op/config "{\"version\":$1,\"routes\":[{\"name\":\"confirm\",\"host\":\"desk.example\",\"prefix\":\"/confirm/\",\
\"kind\":\"unsafe\",\"timeoutMs\":1000,\"targetLatencyMs\":100,\"priority\":2,\"service\":\"booking-app\",\"attempts\":1,\
\"public\":false,\"sticky\":false,\"resumable\":false}],\
\"services\":[{\"name\":\"booking-app\",\"healthPath\":\"/health\",\"maxConns\":96}],\
\"limits\":{\"headerBytes\":16384,\"bodyBytes\":$2,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\
\"tenants\":[{\"name\":\"north\",\"keys\":[\"$KEY\"],\"priority\":0,\"isolated\":false}]}"
}
start_store
if [ "$TROUBLE" != 0 ]; then put_config 7 65536; else put_config 7 4194304; fi
for number in 1 2 3; do start_engine $number booking-app none; done
for number in 1 2 3; do start_front $number; done
for number in 1 2 3; do
    eval "ready=\$READY_$number"
    wait_for 10 "$STANDIN" get "$ready" /readiness
done
sleep 3.5

# 30 kept channels: a body of 600 bytes at once, and one of 100,000 bytes 8 s later, which is less than
# four fifths of idleTimeoutMs.
# shellcheck disable=SC2086
start load "$STANDIN" kept 8 30 600 100000 "$KEY" desk.example /confirm/ $FRONTS
sleep 2
if [ "$TROUBLE" != 0 ]; then
    step "the operator allows bodies of 4,194,304 bytes"
    put_config 8 4194304
fi
sleep 4
# Bodies of that size on new channels show that the new configuration is in force everywhere.
# shellcheck disable=SC2086
start loadnew "$STANDIN" kept 0.1 12 100000 100000 "$KEY" desk.example /confirm/ $FRONTS
wait "$PID_load" "$PID_loadnew" || true
count() { grep -h -a "^[0-9]* answered $2-[0-9]* $3" "$TMP/$1.out" | wc -l; }
step "new channels, from 4 s after the ack: $(count loadnew first 200) and $(count loadnew second 200) of 12 served"
step "kept channels: $(count load first 200) of 30 served before, 6 s after the ack $(count load second 200) of 30 served, $(count load second 413) refused with 413"
# 5 and one in 500 of all 84 requests.
if [ "$(count load second 413)" -gt 5 ]; then
    broken
fi
[ "$(count load second 200)" -eq 30 ] || exit 2
step "HELD"
