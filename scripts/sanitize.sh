#!/usr/bin/env bash
# Builds everything with AddressSanitizer and UndefinedBehaviorSanitizer into
# build-sanitize/, runs the tests there and a short seeded soak.
#
#   scripts/sanitize.sh [CTEST OPTION...]   e.g. -R 'http|platform'
set -euo pipefail
cd "$(dirname "$0")/.."

folder=build-sanitize
flags="-fsanitize=address,undefined -fno-sanitize-recover=all"
flags+=" -fno-omit-frame-pointer"
cmake -S . -B "$folder" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  -DCMAKE_CXX_FLAGS="$flags"
cmake --build "$folder" -j "${JOBS:-$(nproc)}"
export UBSAN_OPTIONS=print_stacktrace=1
ctest --test-dir "$folder" --output-on-failure --no-tests=error "$@"
"$folder/soak/auburnmux-soak" --seed 1 --seconds 16 --untimed
