#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/6/SilentStore.cpp review/7/SilentDrain.cpp review/8/AdapterMemory.cpp; do
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/$(basename "$source" .cpp)" &
done
wait -n; wait -n; wait -n
