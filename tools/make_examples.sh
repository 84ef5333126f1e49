#!/usr/bin/env bash
# Writes examples/: settings of every process and both lists for the two deployments. Addresses are from the range
# 192.0.2.0/24, which is reserved for documentation.
set -euo pipefail
cd "$(dirname "$0")/.."
key=replace-with-a-random-key-of-your-own

# write_controllers DEPLOYMENT CENTRE...: the list of controllers, one entry instance per data centre.
write_controllers() {
  local centre host=11
  echo "controllers:"
  for centre in "$@"; do
    printf '  - { instance: entry-%s, endpoint: "192.0.2.%s:7100" }\n' "$centre" "$host"
    host=$((host + 1))
  done
}

# write_entry FOLDER CENTRE HOST CENTRES...: an entry instance with the router and controller roles.
write_entry() {
  local folder=$1 centre=$2 host=$3
  shift 3
  {
    printf 'instance: entry-%s\ndata_centre: %s\ndata_folder: data\nroles: [router, controller]\n' "$centre" "$centre"
    printf 'peer: { listen: "192.0.2.%s:7100", shared_key: %s }\n' "$host" "$key"
    write_controllers "$@"
    printf 'controller:\n  bootstrap: true\n  platform_list: "192.0.2.10:9000"\n'
    printf '  version_load_time_ms: 120000\n  parallel_loads: 2\n  move_watch_time_ms: 600000\n'
    printf 'caller: { listen: "192.0.2.%s:8080" }\n' "$host"
    printf 'operator: { listen: "192.0.2.%s:7300", token: replace-with-a-token-of-your-own }\n' "$host"
  } >"$folder/entry-$centre.yaml"
}

# write_agent FOLDER NAME CENTRE HOST SERVICE CHECKS_FENCE CENTRES...: the agent beside one upstream.
write_agent() {
  local folder=$1 name=$2 centre=$3 host=$4 service=$5 checks=$6
  shift 6
  {
    printf 'instance: agent-%s\ndata_centre: %s\nroles: [agent]\n' "$name" "$centre"
    printf 'peer: { listen: "192.0.2.%s:7100", shared_key: %s }\n' "$host" "$key"
    write_controllers "$@"
    printf 'upstream:\n  endpoint: "192.0.2.%s:8000"\n  name: %s\n' "$host" "$name"
    [ -z "$service" ] && printf '  kv_capacity_bytes: 34359738368\n  kv_bytes_per_token: 131072\n  max_runs: 64\n'
    [ -n "$service" ] && printf '  service: %s\n  max_runs: 128\n' "$service"
    printf '  checks_fence: %s\n' "$checks"
  } >"$folder/agent-$name.yaml"
}

# write_deployment NAME ENGINES CHECKS_FENCE SERVICES CENTRES: all processes of one deployment.
write_deployment() {
  local folder=examples/$1 engines=$2 checks=$3 host n
  local -a services centres
  read -ra services <<<"$4"
  read -ra centres <<<"$5"
  rm -rf "$folder"
  mkdir -p "$folder"
  for n in 0 1 2; do write_entry "$folder" "${centres[$n]}" $((11 + n)) "${centres[@]}"; done
  for n in $(seq 1 "$engines"); do
    write_agent "$folder" "engine-$n" "${centres[$((n % 3))]}" $((20 + n)) "" "$checks" "${centres[@]}"
  done
  host=60
  for n in 0 1 2; do
    write_agent "$folder" "${services[$n]}-$n" "${centres[$n]}" $((host + n)) "${services[$n]}" false "${centres[@]}"
  done
}

write_deployment great-lakes 9 true "orders orders stock" "chicago toronto detroit"
write_deployment cairo 18 false "appointments appointments stock" "giza maadi nasr-city"
