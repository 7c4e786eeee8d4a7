#!/usr/bin/env bash
# Ends the processes that scripts/up.sh started, the daemons gracefully first.
cd "$(dirname "$0")/.." || exit 1
[ -e .run/pids ] || exit 0
pids=$(tac .run/pids)
kill -TERM $pids 2>/dev/null
for _ in $(seq 100); do
  alive=
  for pid in $pids; do kill -0 "$pid" 2>/dev/null && alive="$alive $pid"; done
  [ -z "$alive" ] && break
  sleep 0.1
done
[ -n "$alive" ] && kill -KILL $alive 2>/dev/null
rm -f .run/pids
exit 0
