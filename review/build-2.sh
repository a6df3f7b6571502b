#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. To be run after the build of deploy/system.toml,
# whose libraries it links; it needs no other packages than that build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -I. -Isrc/liblimpetlever -Isrc/limpetlever \
  review/standin-2/*.cc platform/standins/platform_store.cc -o target/review-2/case \
  target/liblimpetlever_node.a target/liblimpetlever_core.a -levent_core -lhttp_parser -lz -lprometheus-cpp-core -lpthread
