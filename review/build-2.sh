#!/bin/sh
# Builds the stand-ins of the second review into target/review-2, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O2 -pthread -o target/review-2/standin review/standins-2/standin.cpp
