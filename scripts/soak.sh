#!/bin/sh
# Plays soak runs side by side: soak.sh BUILD FIRST-SEED COUNT [AT-ONCE] [OPTION...]. Output of each run
# that broke a promise is printed, with its seed; its logs stay in the directory that is named.
set -eu
BUILD=$1
FIRST=$2
COUNT=$3
AT_ONCE=${4:-4}
[ $# -gt 4 ] && shift 4 || shift $#
OUT=$(mktemp -d)
export BUILD OUT
seq "$FIRST" $((FIRST + COUNT - 1)) | xargs -P "$AT_ONCE" -I{} sh -c '
    seed=$1
    shift
    if "$BUILD/bin/camphorrail_soak" --program="$BUILD/bin/camphorrail" --seed="$seed" \
        --directory="$OUT/$seed" "$@" >"$OUT/$seed.txt" 2>&1; then
        rm -rf "$OUT/$seed"
    fi
    head -n 1 "$OUT/$seed.txt"' soak {} "$@"
broken=0
for log in "$OUT"/*.txt; do
    grep -q " 0 broken promises" "$log" && continue
    broken=$((broken + 1))
    cat "$log"
done
echo "$COUNT runs, $broken with broken promises; logs in $OUT"
[ "$broken" = 0 ]
