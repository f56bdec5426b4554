#!/usr/bin/env bash
# Starts a small system on loopback and sends it requests and a mixed load with
# the project's own commands. Meanwhile it takes each failure domain out of
# service and back in. Exits with 0 only when no request was lost, run twice or
# refused wrongly.
set -eu
cd "$(dirname "$0")/.."
bin="${VENV:-.venv}/bin"
work_dir=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work_dir"
}
trap stop EXIT

start() {
  "$@" 2>>"$work_dir/log" >&2 &
  pids+=($!)
}

# Free ports below the ephemeral range, which the kernel uses for connections.
mapfile -t ports < <("$bin/python" -c '
import os, socket
sockets, port = [], 12000 + os.getpid() % 18000
while len(sockets) < 19:
    port = port + 1 if port < 30000 else 12000
    candidate = socket.socket()
    try:
        candidate.bind(("127.0.0.1", port))
    except OSError:
        continue
    sockets.append(candidate)
    print(port)
')
platform_port=${ports[0]}
sha256_hex() { printf %s "$1" | sha256sum | cut -d " " -f 1; }

cat >"$work_dir/keys.json" <<JSON
{"process_key": "demo-process-key-0001", "signing_key": "demo-signing-key-0001",
 "operators": {"demo": {"key_sha256": "$(sha256_hex demo-operator)", "teams": ["*"]}}}
JSON

start_endpoint() { # name domain service links_port backend_port metrics_port
  cat >"$work_dir/$1.json" <<JSON
{"name": "$1", "failure_domain": "$2", "store_url": "http://127.0.0.1:$platform_port",
 "key_file": "keys.json", "endpoint": {"team": "cymru", "service": "$3",
 "links": {"port": $4}, "backend_url": "http://127.0.0.1:$5", "metrics": {"port": $6}}}
JSON
  start "$bin/primrosewood-endpoint" --settings="$work_dir/$1.json"
}
start_entry() { # name domain callers_port administration_port links_port
  cat >"$work_dir/$1.json" <<JSON
{"name": "$1", "failure_domain": "$2", "store_url": "http://127.0.0.1:$platform_port",
 "vm_list_url": "http://127.0.0.1:$platform_port/vms", "key_file": "keys.json",
 "entry": {"callers": {"port": $3}, "administration": {"port": $4},
 "links": {"port": $5}}}
JSON
  start "$bin/primrosewood-entry" --settings="$work_dir/$1.json"
}

echo "== starting the platform, three engines, a plain service, their endpoints and two entries"
start "$bin/python" -m standins.platform --port="$platform_port"
for n in 1 2 3; do
  start "$bin/python" -m standins.engine --port="${ports[$n]}" --step=0.004
done
start "$bin/python" -m standins.service --port="${ports[4]}"
start_endpoint certdesk-1 abertawe certdesk "${ports[5]}" "${ports[1]}" "${ports[9]}"
start_endpoint certdesk-2 caerdydd certdesk "${ports[6]}" "${ports[2]}" "${ports[10]}"
start_endpoint certdesk-3 caerdydd certdesk "${ports[7]}" "${ports[3]}" "${ports[11]}"
start_endpoint reorders-1 abertawe reorders "${ports[8]}" "${ports[4]}" "${ports[12]}"
start_entry entry-1 abertawe "${ports[13]}" "${ports[14]}" "${ports[17]}"
start_entry entry-2 caerdydd "${ports[15]}" "${ports[16]}" "${ports[18]}"
entry1_url="http://127.0.0.1:${ports[13]}"
entry2_url="http://127.0.0.1:${ports[15]}"
export PRIMROSEWOOD_URL="http://127.0.0.1:${ports[14]}" PRIMROSEWOOD_KEY=demo-operator

for _ in $(seq 200); do
  "$bin/python" - "$PRIMROSEWOOD_URL" <<'PY' 2>/dev/null && break
import sys, urllib.request
urllib.request.urlopen(sys.argv[1] + '/schema/team', timeout=1)
PY
  sleep 0.1
done

echo "== an operator writes the settings"
sed "s/KEY_SHA256/$(sha256_hex demo-key)/" demo/settings.json >"$work_dir/settings.json"
"$bin/primrosewood-ctl" check "$work_dir/settings.json"
"$bin/primrosewood-ctl" put cymru / "@$work_dir/settings.json"
echo "== waiting until both entries may send work to all four endpoints"
"$bin/python" demo/wait.py "$PRIMROSEWOOD_URL" "http://127.0.0.1:${ports[16]}"

echo "== certificate, guide, label, look-up, and a reorder sent twice"
"$bin/python" demo/tasks.py "$entry1_url" "$entry2_url" demo-key \
  "http://127.0.0.1:${ports[4]}" &
tasks_pid=$!
sleep 1
"$bin/primrosewood-ctl" domain_out cymru abertawe | tr -d '\n'; echo
sleep 2
"$bin/primrosewood-ctl" domain_in cymru abertawe | tr -d '\n'; echo
wait "$tasks_pid"

echo "== a mixed load over both entries while the other failure domain leaves and returns"
"$bin/primrosewood-load" run --urls "$entry1_url,$entry2_url" --key demo-key \
  --workload gwenallt --rate 6 --seconds 6 --out "$work_dir/answers" &
load_pid=$!
sleep 1
"$bin/primrosewood-ctl" domain_out cymru caerdydd >/dev/null
sleep 2
"$bin/primrosewood-ctl" domain_in cymru caerdydd >/dev/null
wait "$load_pid"

echo "== decisions (the last of each kind)"
grep 'event=route ' "$work_dir/log" | tail -n 3
grep 'event=admission ' "$work_dir/log" | tail -n 3
echo "== history"
"$bin/primrosewood-ctl" history cymru | grep -c revision | sed 's/^/changes=/'
if grep -q 'event=unexpected_error\|Traceback' "$work_dir/log"; then
  grep 'event=unexpected_error\|Traceback' "$work_dir/log"
  exit 1
fi
echo "== done: nothing was lost, doubled or refused wrongly"
