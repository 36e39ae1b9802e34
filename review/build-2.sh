#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. The gateway itself is built by the
# build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review2-rig ./review/_rig2
