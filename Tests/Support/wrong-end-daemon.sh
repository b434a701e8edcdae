#!/bin/bash
# Runs the daemon named by CYCLAMENSTAIRD with these arguments, and ends with status 3 after SIGTERM.
"$CYCLAMENSTAIRD" "$@" &
daemon=$!
trap 'kill -TERM "$daemon"; wait "$daemon"; exit 3' TERM
trap 'kill -HUP "$daemon"' HUP
# A signal interrupts the wait.
while kill -0 "$daemon" 2> /dev/null; do
    wait "$daemon"
done
