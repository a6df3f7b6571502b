#!/usr/bin/env bash
# Builds the stand-ins of the script cases review/11 to review/15. Needs g++ and rapidjson-dev, as the
# build of the deploy file does.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/standin-3/main.cc -o target/review-3/review3
