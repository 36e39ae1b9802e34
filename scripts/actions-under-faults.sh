#!/usr/bin/env bash
# Sends bookings to real gateway processes while gateways are paused, stopped and
# killed, responses are lost, connections are silent and the store is killed, and
# compares the outcomes with the executions that the booking service counted.
# Needs bin/ (make build), curl and jq. It ends every process that it started
# and exits 1 if an outcome or a count is not an expected one.
set -euo pipefail
cd "$(dirname "$0")/.."

host=${ACTIONS_HOST:-127.0.7.1}
out=out/actions
rm -rf "$out"
mkdir -p "$out"
declare -A pid
broken=0

stop_all() {
  trap - EXIT
  for p in "${pid[@]}"; do kill -KILL "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# start NAME COMMAND... runs a process in the background and appends its output to
# out/actions/NAME.log.
start() {
  local name=$1
  shift
  "$@" >>"$out/$name.log" 2>&1 &
  pid[$name]=$!
}

# end NAME SIGNAL sends a signal to a process and waits until it has exited.
end() {
  kill "-$2" "${pid[$1]}"
  wait "${pid[$1]}" 2>/dev/null || true
  unset "pid[$1]"
}

export HICKORYSTAGE_STORE_URL=http://$host:7100
export HICKORYSTAGE_DIRECTORY_URL=http://$host:7200
export HICKORYSTAGE_PEER_SECRETS=secret-of-the-gateways
export HICKORYSTAGE_ADMIN_TOKEN=token-of-the-operators
export HICKORYSTAGE_DRAIN_TIMEOUT=10s

# gateway N registers and starts gateway N in region svealand.
gateway() {
  bin/standin register --register "$HICKORYSTAGE_DIRECTORY_URL" --id "gw-$1" --region svealand --address "$host:810$1"
  start "gw-$1" bin/hickorystage gateway --id "gw-$1" --region svealand --data-centre svealand-1 \
    --listen "$host:800$1" --peer-listen "$host:810$1" --admin-listen "$host:820$1"
}

# call N METHOD PATH [KEY [DEADLINE_MS]] sends a request to gateway N and prints the
# response body. With KEY, the body has the part of KEY after its last dot and the
# epoch as business key, so that tickets of two epochs don't share one.
call() {
  curl -s --max-time 20 -X "$2" -H "Authorization: Bearer demo-key-svealand" -H "Content-Type: application/json" \
    -H "Idempotency-Key: ${4:-}" -H "X-Deadline-Ms: ${5:-8000}" \
    ${4:+--data "{\"key\":\"${4##*.}-$epoch\"}"} "http://$host:800$1$3" || true
}

# outcome reads a response body and prints its outcome, or "none".
outcome() { jq -r '.outcome // .error.outcome // "none"' 2>/dev/null || echo none; }

# book N KEY [DEADLINE_MS] books by gateway N and prints the outcome.
book() { call "$1" POST /v1/actions/booking/confirm "$2" "${3:-8000}" | outcome; }

# ready N waits until gateway N hands out tickets, and exits after 100 tries.
ready() {
  for _ in $(seq 100); do
    token=$(call "$1" GET /v1/entries | jq -r '.tickets.token // empty' 2>/dev/null) || true
    first=$(call "$1" GET /v1/entries | jq -r '.tickets.first // empty' 2>/dev/null) || true
    [ -n "$token" ] && return 0
    sleep 0.1
  done
  echo "gateway $1 isn't ready"
  exit 1
}

# tickets N fetches a ticket range from gateway N: sets token to its token and first
# to its first ticket.
tickets() {
  local entries
  entries=$(call "$1" GET /v1/entries)
  token=$(jq -r .tickets.token <<<"$entries")
  first=$(jq -r .tickets.first <<<"$entries")
}

# expect DESCRIPTION WANT GOT compares a result with the expected one. WANT may be
# several alternatives separated by "|".
expect() {
  if [[ "|$2|" == *"|$3|"* ]]; then
    echo "ok      $1: $3"
    return
  fi
  echo "BROKEN  $1: $3, not $2"
  broken=1
}

# executions KEY prints how often the booking service executed the business key in
# this epoch.
executions() { curl -s "http://$host:7401/executions" | jq -r --arg k "$1-$epoch" '.by_key[$k] // 0'; }

# faults METHOD [JSON] sets (PUT) the faults of the booking service.
faults() { curl -s -X "$1" "http://$host:7401/faults" ${2:+--data "$2"} >/dev/null; }

start store bin/standin store --listen "$host:7100" --admin "$host:7101"
start directory bin/standin directory --listen "$host:7200" --admin "$host:7201" --lag 200ms
start booking bin/standin service --id booking-1 --region svealand --group booking --listen "$host:7301" \
  --admin "$host:7401" --register "$HICKORYSTAGE_DIRECTORY_URL" --leave-grace 100ms
for port in 7100 7200 7301; do
  curl -s --retry 100 --retry-delay 0 --retry-connrefused -o "$out/ready" "http://$host:$port/"
done
cp -r examples/luftvard "$out/config"
bin/hickorystage config apply "$out/config" --author test >"$out/apply.log" 2>&1 || { cat "$out/apply.log"; exit 1; }
gateway 1
gateway 2
ready 2
ready 1
sleep 2

epoch=1
tickets 1
t=$first
expect "ticket at its owner" ran "$(book 1 "$token.$t")"
expect "the same at another gateway" ran "$(book 2 "$token.$t")"
expect "executions" 1 "$(executions "$t")"

t=$((first + 1))
kill -STOP "${pid[gw-1]}"
expect "owner paused" unknown "$(book 2 "$token.$t" 1500)"
kill -CONT "${pid[gw-1]}"
expect "owner woken, retry" "ran|not_run" "$(book 2 "$token.$t")"
expect "executions" "0|1" "$(executions "$t")"

t=$((first + 2))
faults PUT '{"kind":"drop_answer","method":"POST","count":1}'
expect "answer lost after the effect" unknown "$(book 1 "$token.$t")"
expect "retry" unknown "$(book 2 "$token.$t")"
expect "executions" 1 "$(executions "$t")"

t=$((first + 3))
faults PUT '{"kind":"silent"}'
expect "open connections silent" ran "$(book 1 "$token.$t")"
expect "executions" 1 "$(executions "$t")"

expect "own key" ran "$(book 1 order.own1)"
expect "own key at another gateway" ran "$(book 2 order.own1)"
expect "executions" 1 "$(executions own1)"

end store KILL
expect "own key, store dead" unknown "$(book 2 order.own2)"
expect "executions" 0 "$(executions own2)"
t=$((first + 4))
expect "ticket, store dead" ran "$(book 2 "$token.$t")"
expect "executions" 1 "$(executions "$t")"

end gw-1 TERM
expect "used ticket of a stopped gateway" ran "$(book 2 "$token.$first")"
expect "unused ticket of a stopped gateway" not_run "$(book 2 "$token.$((first + 5))")"
expect "executions" 1 "$(executions "$first")"
expect "executions" 0 "$(executions $((first + 5)))"

epoch=2
gateway 3
ready 3
tickets 3
t=$first
expect "ticket of a new gateway, store dead" ran "$(book 3 "$token.$t")"
end gw-3 KILL
expect "owner killed" unknown "$(book 2 "$token.$t")"
expect "unused, owner killed" unknown "$(book 2 "$token.$((t + 1))")"
expect "executions" 1 "$(executions "$t")"

most=$(curl -s "http://$host:7401/executions" | jq '[.by_key[]] | max')
expect "most executions of one booking" 1 "$most"
exit $broken
