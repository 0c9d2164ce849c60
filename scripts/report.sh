#!/bin/sh
# Compares the router with naive policies and the oracle on both traces, and draws what it did over
# time into out/report.
set -eu
BUILD=${1:-build}
mkdir -p out/report
"$BUILD/bin/camphorrail" replay tests/traces/blue-mahoe.jsonl tests/traces/ikawa.jsonl
"$BUILD/bin/camphorrail_report" out/report 10 | tee out/report/report.md
echo
echo "pictures and series: out/report"
