#!/bin/bash
# Runs the daemon named by CYCLAMENSTAIRD with these arguments, and keeps it busy with SIGHUP from 7 s after the start on.
if [[ " $* " == *" --check "* ]]; then
    exec "$CYCLAMENSTAIRD" "$@"
fi
daemon=$$
(
    sleep 7
    while [ "$SECONDS" -lt 20 ] && kill -HUP "$daemon" 2> /dev/null; do
        :
    done
) &
exec "$CYCLAMENSTAIRD" "$@"
