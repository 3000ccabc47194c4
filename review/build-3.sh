#!/bin/sh
# Builds the stand-ins of review cases 11 to 15 into build-review-3/. The
# programs under test come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review-3
for source in review/1[1-5]/main.cc; do
  number=$(basename "$(dirname "$source")")
  ${CXX:-g++} -std=c++17 -O1 -Wall -Wextra -pthread "$source" \
    -o "build-review-3/case-$number"
done
