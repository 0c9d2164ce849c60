#!/bin/sh
# Formatter and linter over every tracked source file; fails on the first finding of either.
set -eu
BUILD=${1:-build}
git ls-files '*.h' '*.cpp' | xargs clang-format --dry-run -Werror
git ls-files '*.cpp' | xargs -P "$(nproc)" -n 2 clang-tidy -p "$BUILD" --quiet 2>/tmp/camphorrail-tidy.err ||
    { cat /tmp/camphorrail-tidy.err; exit 1; }
echo "lint: clean"
