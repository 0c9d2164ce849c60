#!/bin/sh
# Runs all tests. Those that KNOWN-RED.txt lists are left out of the verdict, run by themselves first
# and printed, so that a reader of the output sees what fails for a known fault.
set -eu
BUILD=${1:-build}
LIST=KNOWN-RED.txt
names=""
if [ -f "$LIST" ]; then
    echo "known to fail, left out of the verdict:"
    cat "$LIST"
    # The names as one regular expression that matches them whole.
    names=$(sed -n 's/^test: //p' "$LIST" | sed 's/[][\.*^$+?(){}|]/\\&/g' | paste -sd '|' -)
fi
cd "$BUILD"
if [ -z "$names" ]; then
    exec ctest --output-on-failure -j 4
fi
ctest -R "^($names)\$" || echo "as listed in $LIST"
exec ctest --output-on-failure -j 4 -E "^($names)\$"
