#!/usr/bin/env bash
# Starts a deployment of three regions on loopback, publishes the configuration of
# examples/luftvard, sends a chat, a streamed chat, a booking and a retry of it,
# and runs until interrupted; with RUN_ONCE=1 it exits after the requests. It ends
# every process that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

out=out/run
source scripts/processes.sh

export HICKORYSTAGE_STORE_URL=http://127.0.0.1:7100
export HICKORYSTAGE_DIRECTORY_URL=http://127.0.0.1:7200
export HICKORYSTAGE_PEER_SECRETS=demo-secret-of-the-gateways
export HICKORYSTAGE_ADMIN_TOKEN=demo-token-of-the-operators
export HICKORYSTAGE_DRAIN_TIMEOUT=10s

echo "step: platform (key-value store, directory, instance list)"
start store bin/standin store --listen 127.0.0.1:7100 --admin 127.0.0.1:7101
start directory bin/standin directory --listen 127.0.0.1:7200 --admin 127.0.0.1:7201 --lag 500ms

echo "step: endpoints (two engines and a booking service in each region)"
n=0
for region in svealand norrland gotaland; do
  for i in 1 2; do
    start "engine-$region-$i" bin/standin engine --id "engine-$region-$i" --region "$region" --group assistant \
      --listen "127.0.0.1:$((7300 + n))" --admin "127.0.0.1:$((7400 + n))" --register "$HICKORYSTAGE_DIRECTORY_URL" --leave-grace 100ms
    n=$((n + 1))
  done
  start "booking-$region" bin/standin service --id "booking-$region" --region "$region" --group booking \
    --listen "127.0.0.1:$((7300 + n))" --admin "127.0.0.1:$((7400 + n))" --register "$HICKORYSTAGE_DIRECTORY_URL" --leave-grace 100ms
  n=$((n + 1))
done

echo "step: configuration (check and apply examples/luftvard)"
rm -rf "$out/config"
cp -r examples/luftvard "$out/config"
bin/hickorystage config check "$out/config"
bin/hickorystage config apply "$out/config" --author demo

echo "step: gateways (two in each region)"
n=0
for region in svealand norrland gotaland; do
  for i in 1 2; do
    id="gw-$region-$i"
    bin/standin register --register "$HICKORYSTAGE_DIRECTORY_URL" --id "$id" --region "$region" --address "127.0.0.1:$((8100 + n))"
    start "$id" bin/hickorystage gateway --id "$id" --region "$region" --data-centre "$region-1" \
      --listen "127.0.0.1:$((8000 + n))" --peer-listen "127.0.0.1:$((8100 + n))" --admin-listen "127.0.0.1:$((8200 + n))" \
      --trace-file "$out/$id.trace.json"
    n=$((n + 1))
  done
done

echo "step: requests (a chat, a streamed chat, a booking, its repeat)"
bin/standin demo --directory "$HICKORYSTAGE_DIRECTORY_URL" --key demo-key-svealand --region svealand

echo "step: configuration in force, as one gateway sees it"
sleep 2
bin/hickorystage config status --admin http://127.0.0.1:8200

if [ "${RUN_ONCE:-}" = 1 ]; then
  echo "step: stopping, as RUN_ONCE=1 asks"
  exit 0
fi
echo "step: up; callers at 127.0.0.1:8000, operators at 127.0.0.1:8200, logs in $out; interrupt to stop"
wait -n || { echo "a process has ended early; see $out"; exit 1; }
