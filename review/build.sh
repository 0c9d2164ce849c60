#!/bin/sh
# Builds the stand-ins of the cases into review/out, from the root of the repository or anywhere.
set -eu
cd "$(dirname "$0")"
mkdir -p out
for source in standins/*.cpp; do
    name=$(basename "$source" .cpp)
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "out/$name" "$source"
done
