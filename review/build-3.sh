#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. The gateway is built by the deploy file's build line.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/rig3 ./review/_rig3
