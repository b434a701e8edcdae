#!/usr/bin/env bash
# Builds the programs of the cases, with their stand-ins, into review/bin. Needs only packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-5]/*.cpp; do
    [ -e "$source" ] || continue
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -I Support -o "bin/case-${source%%/*}" "$source"
done
