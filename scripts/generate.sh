#!/usr/bin/env bash
# Regenerates the committed protobuf code from packages/protocol/proto.
set -euo pipefail
cd "$(dirname "$0")/../packages/protocol"

protoc -I proto --cpp_out=generated proto/*.proto
