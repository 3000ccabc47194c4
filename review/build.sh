#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."

out=target/review
mkdir -p "$out"
compile() { # SOURCE NAME
  "${CXX:-g++}" -std=c++17 -O2 -pthread -Wall -Wextra -o "$out/$2" "$1"
}
for it in ports store backend put link; do
  compile "review/standins/$it.cc" "$it" &
done
for it in 1 2 3 4 5; do
  compile "review/$it/clients.cc" "clients-$it" &
done
for it in $(jobs -p); do
  wait "$it"
done
