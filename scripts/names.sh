#!/usr/bin/env bash
# Fails where the users' platform's names stand outside platform/ (and the
# stand-in of it, and tests): what speaks to the platform is in one folder.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Server-Limit|Store-Era|X-(Kv|Attempt-Id|Server-Seal|Not-Executed|Expect-Instance|Token-Count|Prompt-Prefix|Deadline-Ms|Length-Hint|Stage|Request-Priority|Pin-Ms|Instance-Id)|Kv-Fetch|/hemlockmux/|HEMLOCKMUX_BOOT|rows-(tx|get|feed)|blob-(put|get|list|drop)|kv-(handle|move|events|list)|hold-(take|drop)'
if found=$(git grep -nE "$names" -- '*.go' ':!platform/' ':!standin/internal/usersplatform/' ':!*_test.go'); then
	echo "names of the users' platform stand outside platform/:"
	echo "$found"
	exit 1
fi
