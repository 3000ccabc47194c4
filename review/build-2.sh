#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into target/review-2/. They need
# nothing but a C++17 compiler and the JSON library of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for it in review/*/case.cc; do
  n=$(basename "$(dirname "$it")")
  g++ -std=c++17 -O1 -Wall -Wextra -Ireview/standins-2 -o "target/review-2/case-$n" "$it" -pthread
done
