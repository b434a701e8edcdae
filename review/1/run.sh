#!/usr/bin/env bash
# Runs the case from the root of the repository. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/case-1 ] && [ -x target/Programs/cyclamenstaird ] || exit 2
timeout -k 5 112 review/bin/case-1 review/1/record.txt
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
