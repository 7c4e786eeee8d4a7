#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p .run/review
GOWORK=off go test -c -o .run/review/stand review/stand/*_test.go
