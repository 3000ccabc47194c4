# Starts a small deployment on loopback addresses; sourced by each run.sh.
# Sets `work`, a temporary folder, and ends all started processes at exit.

repo=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
bin=$repo/target/review
record=$case_folder/record.txt
pids=()

cannot_run() {
  echo "cannot run: $*" >&2
  exit 2
}

end_all() {
  local status=$?
  if ((${#pids[@]} > 0)); then
    # `timeout` passes SIGTERM on to what it runs, but not SIGKILL.
    kill -TERM "${pids[@]}" 2>/dev/null
    sleep 0.2
    kill -KILL "${pids[@]}" 2>/dev/null
    wait "${pids[@]}" 2>/dev/null
  fi
  rm -rf "$work"
  exit "$status"
}

[ -x "$bin/store" ] || cannot_run "review/build.sh was not run"
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$repo/deploy/system.toml")
[ -x "$repo/${command%% *}" ] || cannot_run "the deploy file's build was not run"
work=$(mktemp -d)
trap end_all EXIT
: >"$record"
mapfile -t ports < <("$bin/ports" 24)
((${#ports[@]} == 24)) || cannot_run "no free ports"
store=127.0.0.1:${ports[0]}

# start NAME COMMAND...: runs it in the background; its id is in `pid`.
start() {
  local name=$1
  shift
  (cd "$repo" && exec "$@") >"$work/$name.log" 2>&1 &
  pid=$!
  pids+=("$pid")
}

# host NAME PORT_INDEX: starts an entry host on five free ports.
host() {
  local name=$1 n=$2
  front=127.0.0.1:${ports[n]}
  ready=127.0.0.1:${ports[n + 1]}
  directory=127.0.0.1:${ports[n + 2]}
  control=127.0.0.1:${ports[n + 3]}
  cat >"$work/$name.json" <<JSON
{
  "node_name": "$name", "role": "entry", "machine_class": "edge",
  "serves": ["edge", "directory", "control"], "ip": "127.0.0.1",
  "zone": "addis-a", "region": "addis", "zones": {"addis-a": "addis"},
  "listen": {"front": "$front", "ready": "$ready", "control": "$control",
             "directory": "$directory"},
  "internal_ports": [${ports[n + 4]}, ${ports[n + 4]}],
  "seeds": ["$control"], "first_start": true, "loss_counts": false,
  "limits": {"cpu_share": 0.3, "cores": 1, "memory_mb": 390, "max_fds": 6150,
             "link_mbps": 1500.0, "disk_mb": 0},
  "data_dir": null, "discovery": "platform", "entry": "directory",
  "heartbeat_ms": 1500,
  "contracts": ["base", "drain", "config", "cost", "retry", "recover",
                "places", "platform"],
  "fault_tolerance": {"machines": 1, "zones": 1, "regions": 1},
  "bounds": {"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000,
             "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2500, "grace_s": 6,
             "loss_slack_ms": 200, "config_apply_ms": 2500,
             "regression_bound_ms": 250, "max_stretch_ms": 5000,
             "budget_ratio": 0.2, "budget_window_s": 10, "budget_burst": 64,
             "cold_over": 1.5, "cold_slack": 5, "evacuate_ms": 5000,
             "recover_s": 15, "ttl_max_s": 5, "max_shift": 0.15},
  "platform": {"address": "$store", "form": "objects", "writes_per_s": 400,
               "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576,
               "ttl_min_ms": 1000}
}
JSON
  # shellcheck disable=SC2086 # the command is split at spaces
  AUBURNMUX_CONFIG=$work/$name.json start "$name" $command
}

# wait_ready: waits until the host started last is ready.
wait_ready() {
  local i
  for ((i = 0; i < 100; ++i)); do
    if { exec 3<>"/dev/tcp/${ready%:*}/${ready#*:}"; } 2>/dev/null; then
      printf 'GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n' >&3
      read -r -t 2 line <&3
      exec 3>&-
      [[ $line == *" 200 "* ]] && return
    fi
    sleep 0.1
  done
  cannot_run "the host isn't ready: $(tail -n 3 "$work"/*.log)"
}
