#!/usr/bin/env bash
# Runs each proof with its mechanism broken by a named switch and fails unless
# the proof notices. PROOFS names one of them; default: all. hardStop sends daemons
# SIGTERM and then SIGINT, which ends the wait for requests in flight.
set -uo pipefail
cd "$(dirname "$0")/.."
proofs="
blindTable ./hemlockd/internal/placements TestClaimIsWonAtMostOnce
blindTable ./common/settings TestChangesAreAuditedOnce
blindTable ./hemlockd/e2e TestPlacementRunsAtMostOnce
noPeers ./hemlockd/e2e TestVerdictOutlivesItsDaemon
noResume ./hemlockd/e2e TestAnswerIsWhole
noSweep ./hemlockd/e2e TestMemoryIsReleased
noSpread ./hemlockd/e2e TestSettingsSpreadAndNeverRevert
deafDaemons ./hemlockd/e2e TestLeavingUpstreamGetsNoNewWork
hardStop ./hemlockd/e2e TestRollingReplacementCutsOffNothing
noSuspects ./hemlockd/e2e TestCrashSuspectIsStopped
patient ./hemlockd/e2e TestStormPasses
"
wrong=0
while read -r switch package test; do
  [ -z "$switch" ] && continue
  case "${PROOFS:-all}" in all | *"$test"*) ;; *) continue ;; esac
  if output=$(HEMLOCK_BREAK=$switch go test -count=1 -run "^$test\$" "$package" 2>&1); then
    echo "NOT NOTICED: $test passes with $switch"; wrong=1
  elif grep -q -- "--- FAIL: $test" <<<"$output"; then
    echo "red as it should be: $test with $switch"
  else
    echo "NOT RUN: $test with $switch: $(tail -n 3 <<<"$output")"; wrong=1
  fi
done <<<"$proofs"
exit $wrong
