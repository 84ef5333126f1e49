#!/usr/bin/env bash
# Installs what is missing, builds, starts a fleet on loopback with small fake upstreams and shows its main job.
# Exits non-zero if any step did not happen. Ends what it started.
set -uo pipefail
cd "$(dirname "$0")/.."
bash tools/install.sh || exit 1
bash tools/build.sh rhubarbarchd rhubarbarchctl rhubarbarch-fake >/dev/null || exit 1
bin=$PWD/build
run=$PWD/build/quickstart
rm -rf "$run"
mkdir -p "$run"
source tools/lib/fleet.sh
trap stop_all EXIT
failures=0

# expect TEXT COMMAND...: one line for a step.
expect() {
  local text=$1
  shift
  if "$@"; then echo "ok    $text"; else echo "FAIL  $text"; failures=$((failures + 1)); fi
}

ctl() {
  RHUBARBARCH_TOKEN=$operator_token "$bin/rhubarbarchctl" \
    --server 127.0.0.1:7301,127.0.0.1:7302,127.0.0.1:7303 "$@"
}

hash_of() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

# ask ROUTER KEY PATH BODY [CURL OPTIONS...]: one caller request.
ask() {
  local router=$1 key=$2 path=$3 body=$4
  shift 4
  curl -sN --max-time 30 -H "Authorization: Bearer $key" -H 'Content-Type: application/json' "$@" -d "$body" \
    "http://127.0.0.1:$((8100 + router))$path"
}

chat='{"model":"quill","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"bubble wands"}]}'
long='{"model":"quill","stream":true,"max_tokens":300,"fake_tokens":300,"messages":[{"role":"user","content":"review"}]}'

echo "== start"
start platform "$bin/rhubarbarch-fake" --listen 127.0.0.1:9100
for n in 1 2 3; do start "engine-$n" "$bin/rhubarbarch-fake" --listen "127.0.0.1:$((9100 + n))" --loaded quill:v1; done
start orders "$bin/rhubarbarch-fake" --listen 127.0.0.1:9104
for n in 1 2 3; do
  entry_settings "$n"
  start "entry-$n" "$bin/rhubarbarchd" --settings "$run/entry-$n.yaml"
  agent_settings "engine-$n" "$n" ""
  start "agent-engine-$n" "$bin/rhubarbarchd" --settings "$run/agent-engine-$n.yaml"
done
agent_settings orders 4 orders
start agent-orders "$bin/rhubarbarchd" --settings "$run/agent-orders.yaml"
wait_until 20 ctl lists --timeout_ms 500
expect "a controller leads" test $? -eq 0

echo "== lists"
cat >"$run/plans.yaml" <<YAML
plans:
  - { plan: gold, workspace: bayfoam, key_hashes: [$(hash_of gold-key)] }
  - { plan: small, workspace: bayfoam, key_hashes: [$(hash_of small-key)] }
YAML
cat >"$run/uses.yaml" <<YAML
routes:
  - { path: /v1/chat/completions }
  - { path: /orders/, service: orders, idempotent: false, flat_tokens: 5 }
uses:
  - { plan: gold, services: [orders], models: [{ model: quill }], budget_tokens: 1000000 }
  - { plan: small, models: [{ model: quill }], budget_tokens: 400 }
YAML
expect "plans list accepted" ctl apply plans "$run/plans.yaml"
expect "uses list accepted" ctl apply uses "$run/uses.yaml"
everywhere() { ctl instances --json | jq -e .in_force_everywhere; }
expect "both lists in force everywhere" wait_until 10 everywhere
routers_ready() { for n in 1 2 3; do curl -sf "http://127.0.0.1:$((7300 + n))/readyz" || return 1; done; }
expect "all routers ready" wait_until 10 routers_ready
first_answer() { ask 1 gold-key /v1/chat/completions "$chat" | grep -q DONE; }
expect "the fleet answers" wait_until 10 first_answer

echo "== streams through two routers"
for router in 1 2; do
  ask "$router" gold-key /v1/chat/completions "$chat" >"$run/stream-$router.txt"
  expect "router $router streamed a whole answer: $(grep -c content "$run/stream-$router.txt") tokens" \
    grep -q DONE "$run/stream-$router.txt"
done

echo "== an order that must not run twice"
order='{"item":"wand kits","pallets":1}'
ask 1 gold-key /orders/new "$order" -H 'Idempotency-Key: order-1' >"$run/order-1.txt"
ask 2 gold-key /orders/new "$order" -H 'Idempotency-Key: order-1' >"$run/order-2.txt"
expect "the retry through router 2 got the same answer: $(cat "$run/order-2.txt")" \
  cmp -s "$run/order-1.txt" "$run/order-2.txt"
expect "the service ran the order once" \
  test "$(curl -s 127.0.0.1:9104/fake | jq '.bodies | add')" = 1
expect "without a key: 400" test \
  "$(ask 1 gold-key /orders/new "$order" -o "$run/no-key.txt" -w '%{http_code}')" = 400

echo "== a request beyond the budget"
too_much='{"model":"quill","max_tokens":4000,"messages":[]}'
status=$(ask 1 small-key /v1/chat/completions "$too_much" -D "$run/refused.head" -o "$run/refused.txt" -w '%{http_code}')
expect "refused with 402: $(cat "$run/refused.txt")" test "$status" = 402
expect "and with when to come back" grep -qi '^Retry-After:' "$run/refused.head"
expect "it did not run" test "$(jq -r .ran "$run/refused.txt")" = no

echo "== version moves"
traffic() {
  for _ in $(seq 400); do
    [ -e "$run/stop-traffic" ] && return
    ask $((RANDOM % 3 + 1)) gold-key /v1/chat/completions '{"model":"quill","max_tokens":4,"fake_tokens":4}' >/dev/null
  done
}
for _ in 1 2 3; do traffic & done
ctl move quill v2 --deadline 30 --watch >"$run/move-good.txt"
expect "the move to v2 is done" test $? -eq 0
tail -n 1 "$run/move-good.txt"
for n in 1 2 3; do curl -s -d '{"failRate":1,"failVersion":"v3"}' "127.0.0.1:$((9100 + n))/fake" >/dev/null; done
ctl move quill v3 --deadline 30 --watch >"$run/move-bad.txt"
expect "the faulty v3 is taken back" test $? -eq 6
tail -n 1 "$run/move-bad.txt"
touch "$run/stop-traffic"
bad=$(for n in 1 2 3; do curl -s "127.0.0.1:$((9100 + n))/fake"; done | jq -s 'map(.requests_by_version.v3 // 0) | add')
all=$(for n in 1 2 3; do curl -s "127.0.0.1:$((9100 + n))/fake"; done | jq -s 'map(.requests_by_version | add) | add')
echo "      v3 received $bad of $all requests"

echo "== drain"
ask 3 gold-key /v1/chat/completions "$long" >"$run/drained.txt" &
reader=$!
started() { grep -q content "$run/drained.txt"; }
wait_until 10 started
stop entry-3 TERM
wait $reader
expect "the stream through the leaving router is whole: $(grep -c content "$run/drained.txt") tokens" \
  grep -q DONE "$run/drained.txt"
gone() { ! kill -0 "${pid_of[entry-3]}"; }
expect "the router ended by itself" wait_until 30 gone

echo "== spend against budget"
for plan in gold small; do
  report=$(ctl plan "$plan" --json)
  expect "$plan: $(jq -c '{budget,settled,charged_open,granted,in_doubt}' <<<"$report")" \
    jq -e '.settled + .charged_open + .in_doubt <= .budget' <<<"$report" >/dev/null
done
echo "$failures steps failed"
[ $failures -eq 0 ]
