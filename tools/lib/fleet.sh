# Functions that start and stop a fleet on loopback for the quickstart. Source this file.
# Needs: bin (folder with the programs), run (folder for settings, logs and data).

fleet_key=loopback-shared-key-for-trials
operator_token=operator-token
declare -A pid_of

# start NAME COMMAND...: starts a process, logs to $run/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pid_of[$name]=$!
}

# stop NAME [SIGNAL]: signals one process that this script started.
stop() {
  local pid=${pid_of[$1]:-}
  [ -n "$pid" ] && kill "-${2:-TERM}" "$pid" 2>/dev/null || true
}

stop_all() {
  local name
  for name in "${!pid_of[@]}"; do stop "$name" TERM; done
  for _ in $(seq 50); do
    local alive=0
    for name in "${!pid_of[@]}"; do kill -0 "${pid_of[$name]}" 2>/dev/null && alive=1; done
    [ $alive -eq 0 ] && break
    sleep 0.1
  done
  for name in "${!pid_of[@]}"; do stop "$name" KILL; done
}

# wait_until SECONDS COMMAND...: repeats a command until it succeeds.
wait_until() {
  local limit=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $limit ] || return 1
    sleep 0.1
  done
}

controllers_yaml() {
  printf 'controllers:\n'
  for n in 1 2 3; do printf '  - { instance: entry-%s, endpoint: "127.0.0.1:%s" }\n' "$n" $((7100 + n)); done
}

# entry_settings N: settings of an entry instance, router and controller in one process.
entry_settings() {
  cat >"$run/entry-$1.yaml" <<YAML
instance: entry-$1
data_centre: dc-$1
data_folder: $run/data-$1
roles: [router, controller]
peer: { listen: "127.0.0.1:$((7100 + $1))", shared_key: $fleet_key }
$(controllers_yaml)
controller: { bootstrap: true, platform_list: "127.0.0.1:9100", version_load_time_ms: 500, move_watch_time_ms: 3000 }
caller: { listen: "127.0.0.1:$((8100 + $1))" }
operator: { listen: "127.0.0.1:$((7300 + $1))", token: $operator_token }
YAML
}

# agent_settings NAME NUMBER SERVICE: settings of the agent beside one upstream.
agent_settings() {
  cat >"$run/agent-$1.yaml" <<YAML
instance: agent-$1
data_centre: dc-$(($2 % 3 + 1))
roles: [agent]
peer: { listen: "127.0.0.1:$((7200 + $2))", shared_key: $fleet_key }
$(controllers_yaml)
operator: { listen: "127.0.0.1:$((7400 + $2))" }
upstream: { endpoint: "127.0.0.1:$((9100 + $2))", name: $1, service: "$3", checks_fence: true }
YAML
}
