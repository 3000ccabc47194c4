#!/usr/bin/env bash
# Prints one line for each measure; docs name what they mean and their targets.
#
#   scripts/measure.sh [NAME...]     all measures, or those named
#
# Baseline and value come from the same run on the same machine.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
trap stop_fleet EXIT

agency=examples/agency
belhadj=examples/belhadj
checks="--mix checks:1 --linger 5"

# subsidy-core runs 35 upstreams of 9 slots at 50 ms: 6,300 requests/s.
slowed_run() { # NAME
  call "$1-even" $agency 4400 8 --service subsidy-core $checks
  # A tenth of the upstreams, in four data centres.
  local it
  for it in 127.10.1.2 127.10.3.3 127.10.4.1 127.10.6.2; do
    curl -sf -o /dev/null -X PUT "http://$it:9001/control" -d '{"slow_factor":10}'
  done
  call "$1-slow" $agency 4400 20 --service subsidy-core $checks
}

measure_tail_slowed() {
  start_fleet $agency
  slowed_run ours
  stop_fleet
  EXTRA="--without-balancing --without-hedging" start_fleet $agency
  slowed_run plain
  stop_fleet
  line tail_slowed "$(figure ours-even checks p99_ms)" \
    "$(figure ours-slow checks p99_ms)" ms 28 "ok=$(total ours-slow checks ok)"
  line tail_slowed_vs_plain "$(figure plain-slow checks p99_ms)" \
    "$(figure ours-slow checks p99_ms)" ms 28 "plain_ok=$(total plain-slow checks ok)"
}

# photo-vault runs 12 upstreams of 3 slots at 500 ms: 72 uploads/s.
hol_run() { # NAME
  call "$1-even" $belhadj 1800 8 --service rota-desk $checks
  call "$1-full" $belhadj 1890 12 --service rota-desk \
    --upload-service photo-vault --mix checks:1800,uploads:90 --linger 5
}

measure_hol() {
  UPSTREAM="--straggler-fraction 0.002" start_fleet $belhadj
  hol_run ours
  stop_fleet
  UPSTREAM="--straggler-fraction 0.002" \
    EXTRA="--without-balancing --without-hedging" start_fleet $belhadj
  hol_run plain
  stop_fleet
  line hol "$(figure ours-even checks p99_ms)" \
    "$(figure ours-full checks p99_ms)" ms 20 \
    "uploads_ok=$(total ours-full uploads ok)"
  line hol_vs_plain "$(figure plain-full checks p99_ms)" \
    "$(figure ours-full checks p99_ms)" ms 20
}

# One data centre: 6 upstreams of 9 slots at 50 ms take 1,080 requests/s.
one_centre() {
  local dir=$run/one
  rm -rf "$dir"
  mkdir -p "$dir/hosts" "$dir/subsidy-core"
  cp $agency/hosts/addis-1-*.json "$dir/hosts"
  jq '.regions |= [.[0] | .data_centres |= [.[0]]] | .links = [] |
      .sites |= [.[] | select(.data_centre == "addis-1")]' \
    $agency/topology.json >"$dir/topology.json"
  jq '.upstreams |= [.[] | select(.data_centre == "addis-1")]' \
    $agency/subsidy-core/service.json >"$dir/subsidy-core/service.json"
}

overload_run() { # NAME
  local factor
  for factor in 1 2 3; do
    call "$1-$factor" "$run/one" $((1080 * factor)) 8 --service subsidy-core $checks
  done
}

best_goodput() { # NAME
  local factor
  for factor in 1 2 3; do total "$1-$factor" checks ok; done | sort -n | tail -1
}

measure_overload() {
  one_centre
  start_fleet "$run/one"
  overload_run ours
  stop_fleet
  EXTRA="--without-balancing --without-hedging" start_fleet "$run/one"
  overload_run plain
  stop_fleet
  line overload "$(best_goodput ours)" "$(total ours-3 checks ok)" requests 8 \
    "refusal_p50_ms=$(figure ours-3 checks not_run_p50_ms) refused=$(total ours-3 checks not_run)"
  line overload_vs_plain "$(total plain-3 checks ok)" "$(total ours-3 checks ok)" requests 8
}

measure_region_loss() {
  start_fleet $agency
  call loss $agency 3780 25 --service subsidy-core $checks --timeline &
  local callers=$!
  sleep 8
  local it
  for it in addis-1-a addis-1-b addis-2-a; do kill -9 "${pid_of[$it]}"; done
  for it in $(seq 1 6); do
    curl -sf -o /dev/null -X PUT "http://127.10.1.$it:9001/control" -d '{"silent":true}' || true
    curl -sf -o /dev/null -X PUT "http://127.10.2.$it:9001/control" -d '{"silent":true}' || true
  done
  wait $callers
  local served
  # Seconds after the loss until 98% of the rate before it is served again.
  served=$(jq -s '[.[].timeline[]] | group_by(.second) |
    map({second: .[0].second, ok: (map(.ok) | add)}) as $t |
    ([$t[] | select(.second >= 1 and .second <= 6) | .ok] | add / length) as $before |
    [$t[] | select(.second >= 8 and .second < 24 and .ok < 0.98 * $before) | .second] |
    if length == 0 then 0 else (max - 7) end' "$run"/loss-*.json)
  local peak=0 n
  for it in 127.10.3 127.10.4 127.10.5 127.10.6; do
    for n in 1 2 3 4 5; do
      peak=$(curl -s "http://$it.$n:9001/control/stats" |
        jq --argjson p "$peak" '[(.max_concurrent / 9), $p] | max')
    done
  done
  stop_fleet
  count_line region_loss "$served" 5 s 25 "failed=$(total loss checks failed)"
  count_line region_loss_peak "$peak" 1 load/capacity 25
}

measure_drain() {
  start_fleet $agency
  call drain $agency 4400 20 --service subsidy-core --upload-service doc-intake \
    --mix checks:85,once:14,uploads:1 --linger 8 &
  local callers=$!
  sleep 4
  curl -sf -o /dev/null -X PUT http://127.10.1.1:9001/control -d '{"draining":true}'
  kill -TERM "${pid_of[bahirdar-1-a]}"
  local pid=${pid_of[bahirdar-1-a]} code=0
  wait "$pid" || code=$?
  wait $callers
  local after
  after=$(curl -s http://127.10.1.1:9001/control/stats | jq .work_after_drain)
  local cut
  cut=$(grep -o 'requests_cut=[0-9]*' "$run/bahirdar-1-a.log" | cut -d= -f2)
  local failed=$(($(total drain checks failed) + $(total drain once failed) + $(total drain uploads failed)))
  stop_fleet
  count_line drain "$cut" 0 requests 20 "exit_code=$code failed=$failed work_after_2s=$after"
}

measure_added() {
  one_centre
  UPSTREAM="--mean-ms 1 --sigma 0" start_fleet "$run/one"
  local out
  out=$(build/bench/bench_http --count 3000 \
    --latency 127.10.1.1:9001/v1/applications/1 \
    --latency 127.10.0.1:8080/subsidy-core/v1/applications/1 | cut -d= -f2)
  stop_fleet
  local direct via
  direct=$(sed -n 1p <<<"$out")
  via=$(sed -n 2p <<<"$out")
  line added "$direct" "$via" ms 10 \
    "added_ms=$(awk -v a="$direct" -v b="$via" 'BEGIN { print b - a }')"
}

measure_lookups() {
  start_fleet $agency
  local out answers cpu
  out=$(build/bench/bench_http --seconds 5 --connections 64 \
    --pid "${pid_of[addis-1-a]}" \
    --throughput "127.10.0.1:8080/v1/lookup?service=subsidy-core")
  stop_fleet
  answers=$(sed -n 's/.*answers=\([0-9]*\).*/\1/p' <<<"$out")
  cpu=$(sed -n 's/.*cpu_s=\([0-9.]*\).*/\1/p' <<<"$out")
  count_line lookups "$(awk -v a="$answers" -v c="$cpu" 'BEGIN { print int(a / c) }')" \
    20000 lookups/core-second 5 "answers=$answers cpu_s=$cpu"
  build/packages/lookup/bench_blocks --seconds 2 | grep lookups_decision
}

measure_blocks() { build/packages/lookup/bench_blocks | grep measure=blocks; }

publish_seconds() { sed -n 's/.*after \([0-9.]*\) s.*/\1/p' "$run/publish.log"; }

measure_publish() {
  local dir=$run/published platform=127.10.0.100:8500
  cp -r $agency "$dir"
  start_fleet "$dir"
  local i worst=0
  for i in 1 2 3 4 5; do
    jq --argjson n "$((5000 + i))" '.lookup_lifetime_ms = $n' \
      $agency/topology.json >"$dir/topology.json"
    publish_fleet "$dir" $platform
    worst=$(printf '%s\n%s\n' "$worst" "$(publish_seconds)" | sort -g | tail -1)
  done
  count_line publish "$worst" 2 s 5 "hosts=7 publishes=5"
  curl -sf -o /dev/null -X PUT http://$platform/control/faults -d '{"delay_ms":300}'
  jq '.lookup_lifetime_ms = 6000' $agency/topology.json >"$dir/topology.json"
  publish_fleet "$dir" $platform
  stop_fleet
  count_line publish_slow_platform "$(publish_seconds)" 4 s 5 "hosts=7 platform_delay_ms=300"
}

# Generates N hosts over 8 data centres of 4 regions, with no load.
generate_fleet() { # FOLDER N
  local dir=$1 n=$2 i
  rm -rf "$dir"
  mkdir -p "$dir/hosts" "$dir/idle"
  jq -n '{regions: [range(4) | . as $r | {name: "r\($r)", data_centres:
      [range(2) | {name: "r\($r)-\(.)", host_slots: 64}]}],
    delays: {in_region_ms: 1, between_regions_ms: 20}, links: [], sites: [],
    lookup_lifetime_ms: 5000}' >"$dir/topology.json"
  jq -n '{service: "idle", owner: "measure", upstreams: [range(8) |
      {id: "i-\(.)", data_centre: "r\((. / 2) | floor)-\(. % 2)",
       address: "127.60.0.\(. + 1)", port: 9001, slots: 64, connections: 400}],
    routes: [{path: "/v1", methods: ["GET"], work: "idempotent", class: "short",
      deadline_ms: 2000, max_body_bytes: 0}],
    spill: {max_share: 0.3, ramp_per_s: 8, mbit_per_slot: 1}, leaving: [],
    slow_start_s: 10, stall_ms: 2000}' >"$dir/idle/service.json"
  for ((i = 0; i < n; ++i)); do
    jq -n --argjson i "$i" 'def addr(k): "127.61.\((k / 200) | floor).\(k % 200 + 1)";
      {host: "h\($i)", region: "r\(($i % 8) / 2 | floor)",
       data_centre: "r\(($i % 8) / 2 | floor)-\($i % 2)",
       listen: {address: addr($i), port: 8080}, peer: {address: addr($i), port: 7000},
       platform: {address: "127.61.250.1", port: 8500},
       seeds: [range(3) | select(. != $i) | {host: "h\(.)", address: addr(.), port: 7000}],
       drain_limit_s: 30, log_level: "warning"}' \
      >"$dir/hosts/h$i.json"
  done
}

cpu_ticks() { # of all hosts
  local name sum=0
  for name in "${!pid_of[@]}"; do
    [[ $name == h[0-9]* ]] || continue
    sum=$((sum + $(awk '{print $14 + $15}' "/proc/${pid_of[$name]}/stat")))
  done
  echo $sum
}

sent_bytes() { # FOLDER, of all hosts
  local file
  for file in "$1"/hosts/*.json; do
    curl -s "http://$(jq -r '"\(.listen.address):\(.listen.port)"' "$file")/metrics"
  done | awk '/^auburnmux_peer_sent_bytes /{s += $2} END {printf "%d", s}'
}

control_run() { # N SECONDS
  local dir=$run/fleet$1 ticks bytes calls
  generate_fleet "$dir" "$1"
  start_fleet "$dir"
  sleep 10
  ticks=$(cpu_ticks)
  bytes=$(sent_bytes "$dir")
  calls=$(curl -s http://127.61.250.1:8500/control/counts | jq '[.. | numbers] | add')
  sleep "$2"
  ticks=$(($(cpu_ticks) - ticks))
  bytes=$(($(sent_bytes "$dir") - bytes))
  calls=$(($(curl -s http://127.61.250.1:8500/control/counts | jq '[.. | numbers] | add') - calls))
  local rss
  rss=$(awk '/VmRSS/{print $2 / 1024}' "/proc/${pid_of[h0]}/status")
  stop_fleet
  control_lines+="$(count_line control_cost \
    "$(awk -v t=$ticks -v n="$1" -v s="$2" 'BEGIN { printf "%.3f", t / n / s }')" 1.2 \
    percent_of_core "$2" "fleet=$1 bytes_per_s=$((bytes / $1 / $2)) memory_mb=$rss")"$'\n'
  calls_lines+="$(count_line platform_calls \
    "$(awk -v c=$calls -v n="$1" -v s="$2" 'BEGIN { printf "%.2f", c * 60 / n / s }')" 5 \
    calls/min/host "$2" "fleet=$1")"$'\n'
}

control_runs() {
  [ -n "${control_lines:-}" ] && return
  control_lines=
  calls_lines=
  local n
  for n in ${CONTROL_SIZES:-7 28 112}; do control_run $n "${CONTROL_SECONDS:-60}"; done
}

measure_control_cost() { control_runs; printf '%s' "$control_lines"; }
measure_platform_calls() { control_runs; printf '%s' "$calls_lines"; }

state_seen() { # HOST
  curl -s http://127.10.0.4:8080/v1/status |
    jq -r --arg h "$1" '.peers[] | select(.host == $h) | .state'
}

measure_detect() {
  start_fleet $agency
  sleep 2
  # Pauses of 2 s, one host after the other.
  local it round
  for round in 1 2 3; do
    for it in addis-1-a addis-2-a hawassa-1-a hawassa-2-a; do
      kill -STOP "${pid_of[$it]}"
      sleep 2
      kill -CONT "${pid_of[$it]}"
      sleep 1.5
    done
  done
  local alarms
  alarms=$(cat "$run"/*-a.log "$run"/*-b.log | grep -c 'state=dead' || true)
  local start worst=0 s
  for it in addis-2-a hawassa-1-a; do
    start=$(date +%s.%N)
    kill -9 "${pid_of[$it]}"
    until [ "$(state_seen $it)" = dead ]; do sleep 0.02; done
    s=$(awk -v a="$start" -v b="$(date +%s.%N)" 'BEGIN { printf "%.2f", b - a }')
    worst=$(printf '%s\n%s\n' "$worst" "$s" | sort -g | tail -1)
  done
  stop_fleet
  count_line detect "$worst" 3 s 10 "kills=2"
  count_line detect_false_alarms "$alarms" 0 count 42 "pauses=12 pause_s=2"
}

all="added lookups blocks publish detect tail_slowed hol overload region_loss drain platform_calls control_cost"
for name in ${*:-$all}; do
  "measure_$name"
done
