#!/usr/bin/env bash
# Builds the programs of the cases 6 and 8, with all their stand-ins, into target/review-2/. Case 7 is a day.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/6/SilentDrain.cpp review/8/AdapterMemory.cpp; do
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/$(basename "$source" .cpp)"
done
