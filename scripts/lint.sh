#!/usr/bin/env bash
# Checks format, lint rules and that the generated code is current.
#
#   scripts/lint.sh [FILE...]   the files, or the whole tree
set -euo pipefail
cd "$(dirname "$0")/.."

if (($# > 0)); then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard \
    '*.cpp' '*.h' | grep -v '\.pb\.')
fi
clang-format --dry-run --Werror "${files[@]}"

units=()
for it in "${files[@]}"; do
  [[ $it == *.cpp ]] && units+=("$it")
done
if ((${#units[@]} > 0)); then
  printf '%s\0' "${units[@]}" |
    xargs -0 -n 1 -P "$(nproc)" scripts/tidy.sh 2>/tmp/lint.$$ ||
    { grep -v 'warnings generated' /tmp/lint.$$ || true; rm -f /tmp/lint.$$; exit 1; }
  rm -f /tmp/lint.$$
fi

if [ -d packages/protocol/proto ]; then
  out=$(mktemp -d)
  trap 'rm -rf "$out"' EXIT
  protoc -I packages/protocol/proto --cpp_out="$out" packages/protocol/proto/*.proto
  for it in "$out"/*.pb.*; do
    cmp "$it" "packages/protocol/generated/$(basename "$it")"
  done
fi
# The platform's words stay in platform/.
words='[^-]request-id|[^t]-deadline-ms|expect-instance|response-signature'
words+='|not-executed|stale_ok|cold_remaining_ms|traffic_split|max_attempts'
if git grep -niE "$words" -- '*.cpp' '*.h' ':!platform/' ':!*/test/*' \
  ':!tests/' ':!standins/' ':!soak/' ':!*.pb.*'; then
  echo "lint: words of the platform outside platform/"
  exit 1
fi
echo "lint: clean"
