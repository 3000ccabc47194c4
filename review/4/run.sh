#!/usr/bin/env bash
# One caller repeats a lookup that crashes each backend that begins to run it.
# After the third crash it may reach backends a few times more, not for ever.
# See claim.txt. TROUBLE=0: no such caller.
set -u
case_folder=$(cd "$(dirname "$0")" && pwd)
source "$case_folder/../standins/deployment.sh"

cat >"$work/config.json" <<'JSON'
{"version":7,
 "routes":{
  "r-status":{"host":"portal.example","path_prefix":"/status/",
   "kind":"idempotent","timeout_ms":800,"target_latency_ms":300,"priority":2,
   "service":"subsidy-core","max_attempts":2,"session_affinity":false,
   "allowed_regions":[]},
  "r-voucher":{"host":"portal.example","path_prefix":"/vouchers/",
   "kind":"non_idempotent","timeout_ms":1000,"target_latency_ms":400,
   "priority":1,"service":"subsidy-core","max_attempts":2,
   "session_affinity":false,"allowed_regions":[]}},
 "services":{"subsidy-core":{"health_path":"/healthz","max_connections":390,
   "protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":16.0}},
 "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
   "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "base_version":5}
JSON
start store "$bin/store" --listen "$store" --config "$work/config.json" \
  --heartbeat-ms 1500
sleep 0.3
for ((i = 1; i <= 12; ++i)); do
  start "backend-$i" "$bin/backend" --listen "127.0.0.1:${ports[i]}" \
    --store "$store" --id "i-$i" --service subsidy-core --zone addis-a \
    --slots 9 --queue 27 --work-ms 440 --record "$record" \
    --crash-path "/status/poison" --restart-ms 3000
done
sleep 0.5
host edge-addis-a-1 18
wait_ready
sleep 2

poison=(--poison /status/poison)
[ "${TROUBLE:-1}" = 0 ] && poison=()
timeout 90 "$bin/clients-4" --directory "$directory" --zone addis-a \
  --region addis --host portal.example --rate 6 --length-s 45 \
  --deadline-ms 2500 --poison-every-s 5 "${poison[@]}" --record "$record" ||
  cannot_run "clients failed"
sleep 1
[ -n "${KEEP_LOG:-}" ] && cp "$work/edge-addis-a-1.log" "$KEEP_LOG"

awk '
  { delete f; for (i = 3; i <= NF; ++i) { n = index($i, "="); f[substr($i, 1, n - 1)] = substr($i, n + 1) } }
  $2 == "backend" && $4 == "crash" { if (++crashes == 3) third = $1 }
  $2 == "client" && $3 == "sent" { sent[f["id"]] = $1 }
  $2 == "backend" && $4 == "run" {
    ran[f["id"]] = 1
    # stable_window_ms 3000 after the third crash
    if (f["target"] == "/status/poison" && third && sent[f["id"]] > third + 3000)
      late[f["id"]] = 1
  }
  $2 == "client" && $3 == "answered" {
    if (f["target"] == "/status/poison") ++poison[f["status"]]
    else {
      ++voucher[f["status"]]
      if (f["status"] != 200 && ran[f["id"]]) ++lost
    }
  }
  END {
    for (it in poison) printf "repeated lookup answered %s: %d\n", it, poison[it]
    for (it in voucher) printf "vouchers answered %s: %d\n", it, voucher[it]
    for (it in late) ++retries
    printf "crashes: %d; lookups sent over 3 s after the third one that reached backends: %d\n", crashes, retries
    printf "vouchers that ran and were not answered with success: %d\n", lost
    if (voucher[200] < 100) { print "too little was served"; exit 2 }
    exit retries > 3 ? 1 : 0
  }' "$record"
