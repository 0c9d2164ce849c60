#!/bin/sh
# Two upstreams stand in the store's list at one address: the second has taken it, and the entry of the
# first has not lapsed yet. An entry that starts now, and has never known the first, goes on and serves.
. "$(dirname "$0")/lib.sh"

start_store
put_config 3
address="127.0.0.1:$((PORT_BASE + 100 + 10 + 3))"
put_item servers/slots-0 "{\"service\":\"slots\",\"address\":\"$address\",\"zone\":\"a\",\"version\":\"v1\",\
\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,\"born\":1000,\"models\":[]}"
start_platform_engine slots-1 1 slots
start_proxy entry-1 0
wait_for ready "$(proxy_operators_of 0)"
wait_for proxy_lists 0 slots-1
sleep 0.3
kill -0 "$PID_proxy_entry_1" || fail "the entry has ended"
expect_in "what it knows" "upstream_replaced" "$(cat "$OUT/proxy_entry-1.log")"
