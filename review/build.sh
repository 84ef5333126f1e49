#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-5]/case.cpp; do
  [ -e "$source" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/case$(dirname "$source")" "$source"
done
