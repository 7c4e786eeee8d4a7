#!/usr/bin/env bash
# Builds the stand-ins that the scripts review/6 to review/10 start, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./standin
go build -o target/review-2/tool review/stand-2/*.go
