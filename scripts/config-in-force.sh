#!/usr/bin/env bash
# Measures with real processes how long a published configuration change takes
# until eight gateways in three regions hold it. Prints one line for each case:
# no fault, and these faults of the store just before each change: all open
# connections silent, lost responses to requests for configuration blobs, and
# delayed requests. CHANGES sets the number of changes of each case. It ends
# every process that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

changes=${CHANGES:-20}
out=out/in-force
source scripts/processes.sh

export HICKORYSTAGE_STORE_URL=http://127.0.0.1:27100
export HICKORYSTAGE_DIRECTORY_URL=http://127.0.0.1:27200
export HICKORYSTAGE_PEER_SECRETS=demo-secret-of-the-gateways
export HICKORYSTAGE_ADMIN_TOKEN=demo-token-of-the-operators

start store bin/standin store --listen 127.0.0.1:27100 --admin 127.0.0.1:27101
start directory bin/standin directory --listen 127.0.0.1:27200 --lag 500ms
n=0
admins=()
for region in svealand svealand svealand norrland norrland norrland gotaland gotaland; do
  id="gw-$n"
  bin/standin register --register "$HICKORYSTAGE_DIRECTORY_URL" --id "$id" --region "$region" --address "127.0.0.1:$((28100 + n))"
  start "$id" bin/hickorystage gateway --id "$id" --region "$region" --data-centre "$region-1" \
    --listen "127.0.0.1:$((28000 + n))" --peer-listen "127.0.0.1:$((28100 + n))" --admin-listen "127.0.0.1:$((28200 + n))"
  admins+=("http://127.0.0.1:$((28200 + n))")
  n=$((n + 1))
done

measure() {
  bin/standin inforce --store "$HICKORYSTAGE_STORE_URL" --store-admin http://127.0.0.1:27101 \
    --admins "$(IFS=,; echo "${admins[*]}")" --changes "$changes" "$@"
}

bin/standin inforce --store "$HICKORYSTAGE_STORE_URL" --admins "${admins[0]}" --changes 1 >/dev/null
sleep 5
measure
measure --fault silent
measure --fault drop_answer --count 4 --path /v1/kv/config/blob
measure --fault delay --delay-ms 1000 --count 8
