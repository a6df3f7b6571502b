#!/usr/bin/env bash
# Builds the programs of the cases into target/review/. Each contains the stand-ins that it starts.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cc; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -pthread -Ireview "$source" -o "target/review/case$number"
done
