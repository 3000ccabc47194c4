#!/usr/bin/env bash
# Builds auburnmux and runs both example deployments on loopback addresses:
# platform, upstreams and 7 entry hosts each, with callers in every data centre.
#
#   scripts/quickstart.sh [--keep] [--seconds N]
#
#   --keep       leave everything running and print what to try
#   --seconds N  how long the callers send (default 15)
set -euo pipefail
cd "$(dirname "$0")/.."

keep=0
seconds=15
while (($# > 0)); do
  case $1 in
    --keep) keep=1 ;;
    --seconds) seconds=$2; shift ;;
    *) sed -n '2,9s/^# \{0,1\}//p' "$0"; exit 2 ;;
  esac
  shift
done

run=$(mktemp -d)
pids=()
say() { printf '[%3d s] %s\n' "$SECONDS" "$*"; }
fail() { say "failed: $* (logs in $run)"; exit 1; }

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids+=($!)
  echo "$! $name" >>"$run/pids"
}

stop_all() {
  ((${#pids[@]} == 0)) && return
  kill "${pids[@]}" 2>/dev/null || true
  local pid
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
trap stop_all EXIT

wait_for() { # URL
  local i
  for ((i = 0; i < 100; ++i)); do
    curl -sf -o "$run/answer" --max-time 2 "$1" && return 0
    sleep 0.2
  done
  fail "no answer from $1"
}

# Another process on an address would answer for one that couldn't bind it.
check_alive() {
  local pid name
  while read -r pid name; do
    kill -0 "$pid" 2>/dev/null ||
      fail "$name ended: $(tail -1 "$run/$name.log")"
  done <"$run/pids"
}

start_deployment() { # NAME
  local dir=examples/$1 file platform service
  platform=$(jq -r '"\(.platform.address):\(.platform.port)"' "$dir"/hosts/*.json | sort -u)
  start "$1-platform" build/standins/standin-platform --listen "$platform" \
    --drop-lag-ms 3600000
  wait_for "http://$platform/control/counts"
  for file in "$dir"/*/service.json; do
    service=$(jq -r .service "$file")
    local class
    class=$(jq -r '.routes[0].class' "$file")
    start "$1-$service" build/standins/standin-upstream --config "$file" \
      --class "$class"
    wait_for "$(jq -r '.upstreams[-1] | "http://\(.address):\(.port)/health"' "$file")"
    say "$1: $(jq '.upstreams | length' "$file") upstreams of $service"
  done
  for file in "$dir"/hosts/*.json; do
    # The stand-in can't see hosts start, which a platform does by itself.
    jq '{address: .listen.address, http_port: .listen.port,
         peer_port: .peer.port, data_centre, region, leaving: false}' "$file" |
      curl -sf -o "$run/answer" -X PUT --data-binary @- \
        "http://$platform/v1/hosts/$(jq -r .host "$file")"
    start "$1-$(jq -r .host "$file")" build/apps/auburnmuxd/auburnmuxd \
      --settings "$file"
  done
  for file in "$dir"/hosts/*.json; do
    wait_for "$(jq -r '"http://\(.listen.address):\(.listen.port)/healthz"' "$file")"
  done
  check_alive
  say "$1: $(ls "$dir"/hosts | wc -l) entry hosts"
  publish "$1" "$platform"
}

publish() { # NAME PLATFORM
  local file hosts=()
  for file in examples/"$1"/hosts/*.json; do
    hosts+=(--host "$(jq -r '"\(.listen.address):\(.listen.port)"' "$file")")
  done
  build/apps/auburnmux/auburnmux publish "examples/$1" --platform "$2" \
    "${hosts[@]}" >"$run/$1-publish.log" 2>&1 ||
    fail "publish: $(tail -1 "$run/$1-publish.log")"
  for file in examples/"$1"/hosts/*.json; do
    wait_for "$(jq -r '"http://\(.listen.address):\(.listen.port)/readyz"' "$file")"
  done
  say "$1: published and in force on every host"
}

send_mix() { # NAME SERVICE RATE_PER_DATA_CENTRE
  local centre entries seed=1 callers=()
  entries=$(jq -r '"\(.listen.address):\(.listen.port)"' examples/"$1"/hosts/*.json | paste -sd ,)
  for centre in $(jq -r '.regions[].data_centres[].name' "examples/$1/topology.json"); do
    build/standins/standin-caller --entry "$entries" --service "$2" \
      --mix checks:80,once:10,uploads:10 --rate "$3" --seconds "$seconds" \
      --seed $((seed++)) --data-centre "$centre" \
      --out "$run/$1-calls-$centre.json" 2>"$run/$1-calls-$centre.log" &
    callers+=($!)
    pids+=($!)
  done
  say "$1: ${#callers[@]} callers send $3 requests/s each for $seconds s"
  local pid
  for pid in "${callers[@]}"; do wait "$pid" || fail "a caller of $1"; done
}

summarize() { # NAME; sets wrong, doubled and ok
  local file
  for file in examples/"$1"/*/service.json; do
    jq -r '.upstreams[] | "http://\(.address):\(.port)/control/stats"' "$file"
  done | xargs -n 20 curl -s >"$run/$1-stats"
  doubled=$(jq -s 'map(.doubled) | add' "$run/$1-stats")
  wrong=$(jq -s '[.[].classes[].wrong_answers] | add' "$run/$1"-calls-*.json)
  ok=$(jq -s '[.[].classes[].ok] | add' "$run/$1"-calls-*.json)
  echo
  echo "$1"
  jq -rs '[.[].classes[]] |
    "  requests \(map(.sent) | add), whole answers \(map(.ok) | add), refused as not run \(map(.not_run) | add), not known \(map(.not_known) | add), failed \(map(.failed) | add)"' \
    "$run/$1"-calls-*.json
  echo "  answers that were not the caller's own: $wrong"
  echo "  non-idempotent requests executed twice: $doubled"
  printf '  %-12s %-14s %-9s %8s %8s %8s %8s\n' region 'data centre' class ok \
    'p50 ms' 'p95 ms' 'p99 ms'
  jq -rs '.[] | .data_centre as $dc | .classes | to_entries[] |
    [($dc | sub("-[0-9]+$"; "")), $dc, .key, .value.ok, .value.p50_ms,
     .value.p95_ms, .value.p99_ms] | @tsv' "$run/$1"-calls-*.json |
    while IFS=$'\t' read -r region centre class n p50 p95 p99; do
      printf '  %-12s %-14s %-9s %8d %8.1f %8.1f %8.1f\n' "$region" "$centre" \
        "$class" "$n" "$p50" "$p95" "$p99"
    done
  echo
}

say "installing Debian packages"
scripts/packages.sh >"$run/packages.log" 2>&1 || fail "packages"
say "building"
scripts/build.sh >"$run/build.log" 2>&1 || fail "build: $(tail -1 "$run/build.log")"

status=0
for it in agency:subsidy-core belhadj:rota-desk; do
  name=${it%%:*}
  start_deployment "$name"
  send_mix "$name" "${it##*:}" 30
  summarize "$name"
  ((wrong == 0 && doubled == 0 && ok > 0)) || status=1
  ((keep)) || { stop_all; : >"$run/pids"; say "$name: stopped"; }
done

if ((keep)); then
  trap - EXIT
  cat <<TEXT
Left running; process ids and names are in $run/pids. Try:
  curl 'http://127.10.0.1:8080/v1/lookup?service=subsidy-core'
  curl http://127.10.0.1:8080/subsidy-core/v1/applications/1?nonce=1
  build/apps/auburnmux/auburnmux status --platform 127.10.0.100:8500
  curl -X PUT -d '{"slow_factor":10}' http://127.10.1.1:9001/control
  curl -X PUT -d '{"draining":true}' http://127.10.1.2:9001/control
  curl http://127.10.1.1:9001/control/stats
  curl -X PUT -d '{"down":true}' http://127.10.0.100:8500/control/faults
To end it: cut -d ' ' -f 1 $run/pids | xargs kill
TEXT
else
  rm -rf "$run"
fi
exit $status
