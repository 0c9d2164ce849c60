#!/bin/sh
# Two runs of one story on one machine, such as two developers' or a developer's beside CI's. Were
# their ports fixed, one could not listen and would fail for no fault of the program.
set -eu
HERE=$(dirname "$0")
"$HERE/bad_input.sh" "$1" &
first=$!
"$HERE/bad_input.sh" "$1" &
second=$!
wait "$first"
wait "$second"
