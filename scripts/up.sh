#!/usr/bin/env bash
# Builds everything, starts the stand-ins and the daemons of one example
# deployment and leaves them running; scripts/down.sh ends just those.
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${DEPLOYMENT:-poleworks}
example=examples/$deployment
[ -d "$example" ] || { echo "there is no deployment $deployment; use poleworks or lampoterassi" >&2; exit 2; }
[ -e .run/pids ] && scripts/down.sh
rm -rf .run && mkdir -p .run/bin .run/logs
for program in hemlockd hemlockctl standin; do go build -o .run/bin/$program ./$program; done

start() { # start LOG COMMAND...
  local log=$1; shift
  "$@" >".run/logs/$log.log" 2>&1 &
  echo $! >>.run/pids
}
value() { sed -n "s/^$1 = \"\(.*\)\"/\1/p" "$2"; }

start standin .run/bin/standin serve --config "$example/standin.toml"
callers= operators=
for file in "$example"/daemons/*.toml; do
  start "$(basename "$file" .toml)" .run/bin/hemlockd --config "$file"
  callers="$callers $(value callers "$file")"
  operators="$operators $(value operators "$file")"
done
operator=${operators# }; operator=${operator%% *}
team=$([ "$deployment" = poleworks ] && echo quotes || echo support)
cat >.run/addresses.env <<ENV
CALLERS="${callers# }"
TEAM_KEY="$deployment-$team-example-key"
OPERATOR="$operator"
OPERATORS="${operators# }"
OPERATOR_KEY="$deployment-operator-example-key"
STANDIN_ADMIN="$(value admin "$example/standin.toml")"
EVENTS="$PWD/.run/events.jsonl"
PIDS="$(tr '\n' ' ' <.run/pids | sed 's/ $//')"
ENV

ready() { curl -fsS -o /dev/null "http://$1/$2" 2>/dev/null; }
wait_for() { # wait_for PATH ADDRESS...
  local path=$1; shift
  for address in "$@"; do
    for _ in $(seq 150); do ready "$address" "$path" && continue 2; sleep 0.1; done
    echo "$address does not answer /$path; see .run/logs" >&2; scripts/down.sh; exit 1
  done
}
wait_for healthz $operators
cp -r "$example/settings" .run/settings
HEMLOCK_OPERATOR=$operator HEMLOCK_OPERATOR_KEY=$deployment-operator-example-key \
  .run/bin/hemlockctl settings apply .run/settings --comment "first settings" --wait 20s
wait_for readyz $operators
echo "$deployment is running; the addresses are in .run/addresses.env"
