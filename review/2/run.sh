#!/bin/sh
# Exits with 1 if WALL was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the
# configuration is not changed.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x review/out/wall ] && [ -x target/bin/camphorrail ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 100 review/out/wall "$folder" "$here/record.txt" "${TROUBLE:-1}"
result=$?
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
