#!/bin/sh
# Guards against streams that go on at an engine of another software version after all entries were killed: nobody
# remembers where they began. Where all engines run one version, they go on; new streams begin in either case.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/streams.sh"

# restart_under NAME: streams are under way when all entries are killed; they are taken up after the restart.
restart_under() {
    read_streams 20 "$1" 10 0 1 2 0 1 2
    sleep 0.6
    kill -9 "$PID_proxy_entry_1" "$PID_proxy_entry_2" "$PID_proxy_entry_3"
    # Refused connections use up the tries of clients that come at once.
    wait_clients
    restarted=$1
}

start_store
put_config 3
start_version v1 1 2 3 4
ENGINES="pool-1 pool-4"
start_entries 0 1 2

restart_under alike
start_entries 0 1 2
continue_streams alike
expect_unmixed alike
expect_whole alike 10

start_version v1.1 5 6 7 8
for number in 0 1 2; do wait_for proxy_lists "$number" pool-5 pool-8; done
# Until both versions are in use.
sleep 2
restart_under unlike
start_entries 0 1 2
continue_streams unlike
expect_unmixed unlike
