#!/usr/bin/env bash
# Installs the packages, builds, and runs every test under ctest. Tests named
# in KNOWN-RED.txt are printed and passed over.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/packages.sh
scripts/build.sh

exclude=()
if [ -f KNOWN-RED.txt ]; then
  red=$(sed -n 's/^test: *\([A-Za-z0-9_.-]*\).*/\1/p' KNOWN-RED.txt | paste -sd '|')
  if [ -n "$red" ]; then
    echo "passed over (KNOWN-RED.txt): $red"
    exclude=(-E "^($red)\$")
  fi
fi
ctest --test-dir build --output-on-failure --no-tests=error "${exclude[@]}"
