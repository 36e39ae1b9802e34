#!/usr/bin/env bash
# Exits with 1 if a worker got more requests than its limit allows, 0 if not, 2 if the case could not run.
export TROUBLE="${TROUBLE:-1}"
case=4
. "$(dirname "$0")/../_standin/run.sh"
