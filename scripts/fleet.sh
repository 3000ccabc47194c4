# Functions that start and stop the processes of a deployment on loopback
# addresses; sourced by scripts/measure.sh.

run=$(mktemp -d)
declare -A pid_of=()

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pid_of[$name]=$!
}

stop_fleet() {
  local name
  for name in "${!pid_of[@]}"; do
    kill -9 "${pid_of[$name]}" 2>/dev/null || true
    wait "${pid_of[$name]}" 2>/dev/null || true
  done
  pid_of=()
}

wait_for() { # URL
  local i
  for ((i = 0; i < 150; ++i)); do
    curl -sf -o /dev/null --max-time 2 "$1" && return 0
    sleep 0.1
  done
  echo "no answer from $1 (logs in $run)" >&2
  return 1
}

announce() { # PLATFORM SETTINGS
  # The stand-in can't see hosts start, which a platform does by itself.
  jq '{address: .listen.address, http_port: .listen.port,
       peer_port: .peer.port, data_centre, region, leaving: false}' "$2" |
    curl -sf -o /dev/null -X PUT --data-binary @- \
      "http://$1/v1/hosts/$(jq -r .host "$2")"
}

# Starts platform, upstreams and hosts of a folder laid out as in examples/.
# EXTRA holds further options of the hosts, UPSTREAM those of the upstreams.
start_fleet() { # FOLDER
  local dir=$1 file platform
  platform=$(jq -r '"\(.platform.address):\(.platform.port)"' "$dir"/hosts/*.json | sort -u)
  start platform build/standins/standin-platform --listen "$platform" \
    --drop-lag-ms 3600000
  wait_for "http://$platform/control/counts"
  for file in "$dir"/*/service.json; do
    start "upstreams-$(jq -r .service "$file")" \
      build/standins/standin-upstream --config "$file" \
      --class "$(jq -r '.routes[0].class' "$file")" ${UPSTREAM:-}
  done
  for file in "$dir"/hosts/*.json; do
    announce "$platform" "$file"
    start "$(jq -r .host "$file")" build/apps/auburnmuxd/auburnmuxd \
      --settings "$file" ${EXTRA:-}
  done
  for file in "$dir"/hosts/*.json; do
    wait_for "$(jq -r '"http://\(.listen.address):\(.listen.port)/healthz"' "$file")"
  done
  publish_fleet "$dir" "$platform"
  for file in "$dir"/hosts/*.json; do
    wait_for "$(jq -r '"http://\(.listen.address):\(.listen.port)/readyz"' "$file")"
  done
}

publish_fleet() { # FOLDER PLATFORM
  local file hosts=()
  for file in "$1"/hosts/*.json; do
    hosts+=(--host "$(jq -r '"\(.listen.address):\(.listen.port)"' "$file")")
  done
  build/apps/auburnmux/auburnmux publish "$1" --platform "$2" "${hosts[@]}" \
    --wait-s 30 >"$run/publish.log" 2>&1
}

entries() { # FOLDER [DATA_CENTRE]
  jq -r --arg dc "${2:-}" 'select($dc == "" or .data_centre == $dc) |
    "\(.listen.address):\(.listen.port)"' "$1"/hosts/*.json | paste -sd ,
}

centres() { # FOLDER
  jq -r '.regions[].data_centres[].name' "$1/topology.json"
}

# Clients of one data centre; each has an address and a look-up of its own.
clients_per_centre=4

# Sends a mix from every data centre; reports go to $run/NAME-*.json.
call() { # NAME FOLDER RATE_OF_ALL SECONDS OPTION...
  local name=$1 dir=$2 rate=$3 seconds=$4 centre block n i pids=() pid
  shift 4
  rm -f "$run/$name"-*.json
  n=$(($(centres "$dir" | wc -l) * clients_per_centre))
  local seed=1
  for centre in $(centres "$dir"); do
    block=$(jq -r --arg dc "$centre" \
      '.sites[] | select(.data_centre == $dc) | .blocks[0]' "$dir/topology.json" | head -1)
    for ((i = 1; i <= clients_per_centre; ++i)); do
      build/standins/standin-caller --entry "$(entries "$dir")" \
        --source "${block%.*}.$((i * 7))" --data-centre "$centre" \
        --rate "$((rate / n))" --seconds "$seconds" --seed $((seed++)) \
        --out "$run/$name-$centre-$i.json" "$@" \
        >"$run/$name-$centre-$i.log" 2>&1 &
      pids+=($!)
    done
  done
  for pid in "${pids[@]}"; do wait "$pid"; done
}

# Mean over the callers of one figure of a class.
figure() { # NAME CLASS FIELD
  jq -s --arg c "$2" --arg f "$3" \
    '[.[].classes[$c][$f]] | add / length' "$run/$1"-*.json
}

total() { # NAME CLASS FIELD
  jq -s --arg c "$2" --arg f "$3" '[.[].classes[$c][$f]] | add' "$run/$1"-*.json
}

line() { # NAME BASELINE VALUE UNIT SECONDS [MORE]
  awk -v n="$1" -v b="$2" -v v="$3" -v u="$4" -v s="$5" -v m="${6:-}" 'BEGIN {
    printf "measure=%s baseline=%.4g value=%.4g ratio=%.4g unit=%s seed=1 duration_s=%s%s\n",
      n, b, v, (b == 0 ? 0 : v / b), u, s, (m == "" ? "" : " " m) }'
}

count_line() { # NAME VALUE TARGET UNIT SECONDS [MORE]
  echo "measure=$1 value=$2 target=$3 unit=$4 seed=1 duration_s=$5${6:+ $6}"
}
