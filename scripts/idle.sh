#!/usr/bin/env bash
# Measures the resources that idle gateways use. Starts a region of GATEWAYS
# gateways, REGIONS - 1 further regions of one gateway each and ENDPOINTS
# endpoints, publishes CUSTOMERS customers, waits SETTLE seconds, and prints mean
# and maximum use of a gateway of the first region over SECONDS_MEASURED seconds.
#
#   scripts/idle.sh GATEWAYS ENDPOINTS CUSTOMERS [REGIONS]
#
# All endpoints are entries of one stand-in engine under different names. Bytes
# are those of all reads and writes of the process (/proc/PID/io), and so contain
# no IP and TCP headers. The script ends every process that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

gateways=$1
endpoints=$2
customers=$3
regions=${4:-13}
settle=${SETTLE:-12}
seconds=${SECONDS_MEASURED:-20}
base=${BASE_PORT:-21000}

out=out/idle
rm -rf "$out"
mkdir -p "$out/config"
pids=()
region_pids=()

stop() {
  trap - EXIT INT TERM
  kill -TERM "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
}
trap 'stop' EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

start() {
  local name=$1
  shift
  "$@" >"$out/$name.log" 2>&1 &
  pids+=($!)
}

# configuration CUSTOMERS writes a configuration of 13 regions, 18 models and
# CUSTOMERS customers, 500 a file, each with all regions as its residency.
configuration() {
  awk -v n="$1" -v dir="$out/config" 'BEGIN {
    for (r = 0; r < 13; r++) list = list (r ? ", " : "") sprintf("region-%02d", r)
    base = dir "/10-base.yaml"
    print "regions:" > base
    for (r = 0; r < 13; r++) printf "  region-%02d: {data_centres: [dc-1, dc-2, dc-3]}\n", r > base
    printf "links: {\"*\": {}}\ngroups: {engines: {kind: engine, regions: [%s]}}\nmodels:\n", list > base
    for (m = 0; m < 18; m++) printf "  model-%02d: {groups: [engines], max_prompt_tokens: 8000, max_output_tokens: 1000}\n", m > base
    for (i = 0; i < n; i++) {
      f = sprintf("%s/40-%05d.yaml", dir, int(i / 500) * 500)
      if (i % 500 == 0) print "customers:" > f
      printf "  customer-%d: {home: region-%02d, residency: [%s], priority: 4, key_hashes: [\"%064x\"]}\n", i, i % 13, list, i + 1 > f
    }
  }'
}

export HICKORYSTAGE_STORE_URL=http://127.0.0.1:$base
export HICKORYSTAGE_DIRECTORY_URL=http://127.0.0.1:$((base + 1))
export HICKORYSTAGE_PEER_SECRETS=secret-of-the-idle-gateways
export HICKORYSTAGE_ADMIN_TOKEN=token-of-the-idle-operators
export HICKORYSTAGE_DRAIN_TIMEOUT=5s

start store bin/standin store --listen "127.0.0.1:$base" --admin "127.0.0.1:$((base + 2))"
start directory bin/standin directory --listen "127.0.0.1:$((base + 1))" --admin "127.0.0.1:$((base + 3))" --lag 500ms
engine=127.0.0.1:$((base + 4))
start engine bin/standin engine --id engine --region region-00 --group engines \
  --listen "$engine" --admin "127.0.0.1:$((base + 5))"
configuration "$customers"
until curl -sf "$HICKORYSTAGE_DIRECTORY_URL/v1/instances?region=region-00" >/dev/null &&
  curl -sf "http://$engine/v1/load" >/dev/null; do sleep 0.2; done
TIMEFORMAT='apply: %R s, %U s user, %S s system'
time bin/hickorystage config apply "$out/config" --author idle >"$out/apply.log"
incarnation=$(curl -sfD - -o /dev/null "http://$engine/v1/load" | awk 'tolower($1) == "x-incarnation:" {print $2}' | tr -d '\r')
for ((i = 0; i < endpoints; i++)); do
  printf 'url = "%s/v1/instances/worker-%04d"\nrequest = PUT\ndata = "%s"\noutput = /dev/null\n' "$HICKORYSTAGE_DIRECTORY_URL" "$i" \
    "{\\\"id\\\":\\\"worker-$(printf %04d "$i")\\\",\\\"incarnation\\\":\\\"$incarnation\\\",\\\"group\\\":\\\"engines\\\",\\\"region\\\":\\\"region-00\\\",\\\"data_centre\\\":\\\"dc-1\\\",\\\"address\\\":\\\"$engine\\\",\\\"state\\\":\\\"live\\\"}"
  [ $((i + 1)) -eq "$endpoints" ] || echo next
done >"$out/instances.curl"
curl -sf -K "$out/instances.curl"

n=0
gateway() {
  local region=$1 port=$((base + 10 + 3 * n))
  bin/standin register --register "$HICKORYSTAGE_DIRECTORY_URL" --id "gw-$n" --region "$region" --address "127.0.0.1:$((port + 1))"
  start "gw-$n" bin/hickorystage gateway --id "gw-$n" --region "$region" --data-centre dc-1 \
    --listen "127.0.0.1:$port" --peer-listen "127.0.0.1:$((port + 1))" --admin-listen "127.0.0.1:$((port + 2))"
  [ "$region" != region-00 ] || region_pids+=("${pids[-1]}")
  n=$((n + 1))
}
for ((g = 0; g < gateways; g++)); do gateway region-00; done
for ((r = 1; r < regions; r++)); do gateway "$(printf 'region-%02d' "$r")"; done

# reading PID prints the CPU time in clock ticks, the bytes read and the bytes
# written by a process so far.
reading() {
  local ticks
  ticks=$(awk '{print $14 + $15}' "/proc/$1/stat")
  awk -v t="$ticks" '/^rchar/ {r = $2} /^wchar/ {w = $2} END {print t, r, w}' "/proc/$1/io"
}

sleep "$settle"
for pid in "${region_pids[@]}"; do echo "$pid $(reading "$pid")"; done >"$out/before"
sleep "$seconds"
for pid in "${region_pids[@]}"; do
  mem=$(awk '/^VmRSS/ {r = $2} /^VmHWM/ {h = $2} END {print r / 1024, h / 1024}' "/proc/$pid/status")
  echo "$pid $(reading "$pid") $mem"
done >"$out/after"
paste -d' ' "$out/before" "$out/after" | awk -v s="$seconds" -v hz="$(getconf CLK_TCK)" -v g="$gateways" -v e="$endpoints" -v c="$customers" '{
  cpu = ($6 - $2) / hz / s * 100; kb = ($7 - $3 + $8 - $4) / s / 1000
  cs += cpu; ks += kb; rs += $9; hs += $10
  if (cpu > cm) cm = cpu; if (kb > km) km = kb; if ($9 > rm) rm = $9; if ($10 > hm) hm = $10
} END {
  printf "gateways=%d endpoints=%d customers=%d cpu=%.2f%% (max %.2f%%) bytes=%.1f KB/s (max %.1f) rss=%.1f MiB (max %.1f) peak=%.1f MiB (max %.1f)\n", g, e, c, cs/NR, cm, ks/NR, km, rs/NR, rm, hs/NR, hm
}'
counter() { curl -sf -H "Authorization: Bearer $HICKORYSTAGE_ADMIN_TOKEN" "http://127.0.0.1:$((base + 12))/debug/vars" | jq -c "$1"; }
counter '[.["hickorystage.config_revision"],.["hickorystage.load_polls"],.["hickorystage.peer_exchanges"],.["hickorystage.instance_list_reads"]]' | sed 's/^/revision, polls, exchanges, list reads of one: /'
kill -QUIT "${region_pids[0]}"
sleep 0.5
echo "goroutines of one: $(grep -c '^goroutine ' "$out/gw-0.log")"
