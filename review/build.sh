#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review/. The build line of
# deploy/system.toml has to run first: the scripts start target/hickorystage.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for dir in review/_standin/case*/; do
  go build -o target/review/ "./${dir%/}"
done
go build -o target/review/ ./cmd/standin
