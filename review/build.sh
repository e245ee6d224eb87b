#!/usr/bin/env bash
# Builds the stand-ins of the cases and, if it is not there, the node program as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x target/shuntbank-relay ]; then
  sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
fi
mkdir -p build/review
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -pthread -o "build/review/case-$number" "$source"
done
