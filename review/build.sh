#!/bin/sh
# Builds the stand-ins that the scripts of the review start: the project's store
# (in the build tree of the deploy file), and the program of each case.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target -j8 --target standin_platform
mkdir -p review/build
for case in review/[0-9]*/case.cc; do
  number=$(basename "$(dirname "$case")")
  g++ -std=c++20 -O1 -Wall -Wextra -I. -pthread -o "review/build/case-$number" "$case"
done
