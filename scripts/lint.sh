#!/usr/bin/env bash
# Runs clang-tidy on every source of the project except tests and generated code.
set -euo pipefail
build=$1
jobs=$2
git ls-files 'src/*.cc' 'platform/*.cc' 'standin/*.cc' 'trial/*.cc' 'bench/*.cc' 'soak/*.cc' | grep -v '\.pb\.' |
  xargs -P "$jobs" -n 1 clang-tidy --quiet -p "$build" 2> >(grep -v 'warnings\? generated\|Suppressed\|Use -header-filter' >&2 || true)
echo "lint: clean"
