#!/usr/bin/env bash
# Regenerates src/proto/*.pb.{h,cc}. Needs protobuf-compiler and protobuf-compiler-grpc; the build
# does not, since the generated code is committed.
set -euo pipefail
cd "$(dirname "$0")/../src/proto"
protoc --cpp_out=. --grpc_out=. --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" peer.proto
protoc --cpp_out=. loads.proto feed.proto quota.proto
