#!/usr/bin/env bash
# Measures the latency that one gateway adds to streams, compared with calling the
# stand-in engine directly, and the resources that the gateway uses, in one run on
# loopback. Usage:
#   scripts/measure-streams.sh [STREAMS] [further flags of "standin load"]
set -euo pipefail
cd "$(dirname "$0")/.."

streams=${1:-1000}
shift || true
out=out/measure
rm -rf "$out"
mkdir -p "$out/config"
pids=()

stop() {
  trap - EXIT INT TERM
  [ ${#pids[@]} -eq 0 ] || kill -TERM "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
}
trap stop EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

start() {
  local name=$1
  shift
  "$@" >"$out/$name.log" 2>&1 &
  pids+=($!)
}

# key_hashes holds the hash of the key demo-key-svealand.
cat >"$out/config/10-all.yaml" <<'YAML'
regions: {one: {data_centres: [one-1]}}
groups:
  engines: {kind: engine, regions: [one], max_concurrent: 100000}
models:
  m: {groups: [engines], max_prompt_tokens: 16000, max_output_tokens: 100000}
customers:
  load:
    key_hashes: [4bacce1147827d4809cee5a2405f54ad0d544ce8d47599726cd975c54e1156a9]
    home: one
    priority: 5
    deadline: 120s
routing:
  weights: {tail_latency: 1, away_share: 1, cost: 1}
YAML

export HICKORYSTAGE_STORE_URL=http://127.0.0.1:17100
export HICKORYSTAGE_DIRECTORY_URL=http://127.0.0.1:17110
export HICKORYSTAGE_PEER_SECRETS=secret-of-the-measurement-gateways
export HICKORYSTAGE_ADMIN_TOKEN=token-of-the-measurement-operators

start store bin/standin store --listen 127.0.0.1:17100
start directory bin/standin directory --listen 127.0.0.1:17110 --lag 100ms
start engine bin/standin engine --id engine --region one --group engines --listen 127.0.0.1:17300 \
  --register "$HICKORYSTAGE_DIRECTORY_URL" --token-interval "${TOKEN_INTERVAL:-100ms}" --leave-grace 1ms
for _ in $(seq 50); do
  bin/hickorystage config apply "$out/config" --author measure >"$out/apply.log" 2>&1 && break
  sleep 0.1
done
bin/standin register --register "$HICKORYSTAGE_DIRECTORY_URL" --id gateway --region one --address 127.0.0.1:17600
start gateway bin/hickorystage gateway --id gateway --region one --data-centre one-1 \
  --listen 127.0.0.1:17500 --peer-listen 127.0.0.1:17600 --admin-listen 127.0.0.1:17700
gateway=${pids[-1]}
sleep 3
bin/standin load --target http://127.0.0.1:17500 --direct http://127.0.0.1:17300 --model m \
  --streams "$streams" --gateway-pid "$gateway" "$@"
