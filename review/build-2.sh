#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -I/usr/include/jsoncpp \
  -o target/review-2/review-harness review/harness-2/*.cpp -ljsoncpp -pthread
echo "built target/review-2/review-harness"
