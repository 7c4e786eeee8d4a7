#!/usr/bin/env bash
# Starts deployments of many daemons, one size after the other, and prints what
# control costs each daemon, how long a change of settings takes, and how long
# until a killed daemon is seen dead. N is a list of DAEMONS or CENTRESxDAEMONS.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d); pids=()
stop() { [ ${#pids[@]} -gt 0 ] && kill -KILL "${pids[@]}" 2>/dev/null; pids=(); wait 2>/dev/null || true; }
trap 'stop; rm -rf "$dir"' EXIT
for program in hemlockd hemlockctl standin; do go build -o "$dir/$program" "./$program"; done
echo "| daemons | processor %, mean, max | control bytes/s in + out, max | memory MB, mean, max | probes/s | load reports/s, their bytes/s | table reads, writes/s, all | in force everywhere, ms |"
echo "| --- | --- | --- | --- | --- | --- | --- | --- |"
for size in ${N:-2 7 28}; do
  centres=1 daemons=$size
  case $size in *x*) centres=${size%x*} daemons=${size#*x} ;; esac
  plan=$dir/$size; mkdir -p "$plan"
  "$dir/standin" scale plan --data-centres "$centres" --daemons "$daemons" --teams "${TEAMS:-20}" --out "$plan"
  "$dir/standin" serve --config "$plan/standin.toml" >"$plan/standin.log" 2>&1 & pids+=($!)
  operators=()
  for file in "$plan"/daemons/*.toml; do
    GOMAXPROCS=2 "$dir/hemlockd" --config "$file" >"${file%.toml}.log" 2>&1 & pids+=($!)
    operators+=("$(sed -n 's/^operators = "\(.*\)"/\1/p' "$file")")
  done
  victim=${pids[-1]} name=$(basename "$file" .toml)
  sleep 2
  HEMLOCK_OPERATOR=${operators[0]} HEMLOCK_OPERATOR_KEY=scale-operator-key \
    "$dir/hemlockctl" settings apply "$plan/settings" --wait 60s >"$plan/apply.log" || cat "$plan/apply.log"
  sleep "${SETTLE:-10}"
  all=$(IFS=,; echo "${operators[*]}")
  "$dir/standin" scale measure --operators "$all" --window "${WINDOW:-10s}"
  kill -KILL "$victim"
  "$dir/standin" scale await-dead --operators "${all%,*}" --name "$name" >>"$dir/deaths"
  sed -i "\$s/^/$size daemons: /" "$dir/deaths"
  stop 2>/dev/null
done
echo; cat "$dir/deaths"
