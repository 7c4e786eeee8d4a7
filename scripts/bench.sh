#!/usr/bin/env bash
# The router's own cost: the same load straight to the engines and through one
# daemon, and through two of which one hands the request over; then a stream of
# chunks as fast as the stand-in makes them.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d); pids=()
stop() { [ ${#pids[@]} -gt 0 ] && kill -KILL "${pids[@]}" 2>/dev/null; pids=(); wait 2>/dev/null || true; }
trap 'stop; rm -rf "$dir"' EXIT
for program in hemlockd hemlockctl standin; do go build -o "$dir/$program" "./$program"; done
key=scale-team-key

begin() { # begin NAME DAEMONS STEP_MS ENGINES_PER_DAEMON
  plan=$dir/$1; mkdir -p "$plan"
  "$dir/standin" scale plan --daemons "$2" --models 1 --teams 1 --engines-per-daemon "$4" --step-ms "$3" --out "$plan"
  "$dir/standin" serve --config "$plan/standin.toml" >"$plan/standin.log" 2>&1 & pids+=($!)
  for file in "$plan"/daemons/*.toml; do
    "$dir/hemlockd" --config "$file" >"${file%.toml}.log" 2>&1 & pids+=($!)
  done
  sleep 2
  HEMLOCK_OPERATOR=127.1.1.1:20211 HEMLOCK_OPERATOR_KEY=scale-operator-key \
    "$dir/hemlockctl" settings apply "$plan/settings" --wait 20s >/dev/null
  sleep 2
}
load() { "$dir/standin" load --model model-0 --key "$key" "$@"; }

echo "== 24 requests a second, prompts of 500 tokens, 40 output tokens, 30 s: straight to the engines"
begin one 1 5 9
direct=(--prefills 127.2.1.1:20220,127.2.1.4:20220,127.2.1.7:20220 --decodes 127.2.1.2:20220,127.2.1.3:20220,127.2.1.5:20220,127.2.1.6:20220,127.2.1.8:20220,127.2.1.9:20220)
load "${direct[@]}" --rate 24 --seconds 30 --prompt 500 --output 40
echo "== the same through one daemon"
load --callers 127.1.1.1:20210 --operator 127.1.1.1:20211 --rate 24 --seconds 30 --prompt 500 --output 40
stop
echo "== the same through two daemons (half or all of it is handed over)"
begin two 2 5 4.5
load --callers 127.1.1.1:20210,127.1.1.2:20210 --rate 24 --seconds 30 --prompt 500 --output 40
stop
echo "== chunks: 20 streams at once, a token every 0.05 ms at most, through one daemon"
begin chunks 1 0.05 3
load --callers 127.1.1.1:20210 --operator 127.1.1.1:20211 --rate 20 --seconds 15 --prompt 50 --output 1000 --fixed-output
