#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need.
set -euo pipefail

packages=(
  build-essential ccache clang-format clang-tidy cmake cppzmq-dev curl git jq
  libbenchmark-dev libboost1.81-dev libcpputest-dev libcxxopts-dev
  libprotobuf-dev librapidcheck-dev libspdlog-dev libwebsockets-dev
  libxxhash-dev libzmq3-dev ninja-build nlohmann-json3-dev pkg-config
  protobuf-compiler
)
missing=()
for it in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$it" 2>/dev/null | grep -q 'ok installed' ||
    missing+=("$it")
done
if ((${#missing[@]} > 0)); then
  echo "installing: ${missing[*]}"
  apt-get update -q
  apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
