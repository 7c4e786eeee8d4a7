#!/usr/bin/env bash
# Starts Poleworks' example deployment, sends a quote and a placement, repeats
# the placement through another data centre, shows the answers and the verdicts
# and stops everything. Exits with 0 only if all of it was right.
set -euo pipefail
cd "$(dirname "$0")/.."
DEPLOYMENT=poleworks scripts/up.sh
trap scripts/down.sh EXIT
. .run/addresses.env
export HEMLOCK_OPERATOR=$OPERATOR HEMLOCK_OPERATOR_KEY=$OPERATOR_KEY
read -r first _ third _ <<<"$CALLERS"
fail() { echo "WRONG: $*" >&2; exit 1; }
ask() { # ask OUT ADDRESS PATH BODY [HEADER...]
  local out=$1 address=$2 path=$3 body=$4; shift 4
  local headers=(); for h in "$@"; do headers+=(-H "$h"); done
  curl -fsS -D "$out.head" -o "$out.body" -H "Authorization: Bearer $TEAM_KEY" "${headers[@]}" --data-binary "$body" "http://$address$path"
}
id() { sed -n 's/^X-Request-Id: \(.*\)\r$/\1/Ip' "$1.head"; }

echo; echo "== a quote: a spec sheet, asked for as a stream, at $first"
ask .run/quote "$first" /v1/chat/completions @examples/poleworks/samples/quote.json
tail -n 4 .run/quote.body
grep -q '^data: \[DONE\]' .run/quote.body || fail "the quote's stream has no end"
chunks=$(grep -c '^data: {' .run/quote.body)
[ "$chunks" -eq 24 ] || fail "the quote has $chunks chunks, not 24"

echo; echo "== a placement at $first, and the same again at $third in another data centre"
key="Idempotency-Key: order-4711"
ask .run/placed "$first" /services/order-desk/placements @examples/poleworks/samples/placement.json "$key"
ask .run/again "$third" /services/order-desk/placements @examples/poleworks/samples/placement.json "$key"
cat .run/placed.body .run/again.body
cmp -s .run/placed.body .run/again.body || fail "the repeated placement has another answer"
grep -qi '^Idempotency-Replayed: true' .run/again.head || fail "the repeated placement was not replayed"
runs=$(grep -c '"event":"run".*"key":"order-4711"' "$EVENTS")
[ "$runs" -eq 1 ] || fail "the placement ran $runs times"

for request in quote placed again; do
  echo; echo "== the verdict on: $request"
  .run/bin/hemlockctl verdict "$(id .run/$request)" | tee .run/$request.verdict
  grep -q '^ran  *yes' .run/$request.verdict || fail "the verdict on $request does not say that it ran"
done
grep -q '^replayed  *true' .run/again.verdict || fail "the verdict on the repeat does not say that it was replayed"
echo; echo "all of it was right"
