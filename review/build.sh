#!/bin/sh
# Builds the clients, runners and store of the scripts into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O2 -Wall -Wextra -I/usr/include/jsoncpp \
  -o target/review/review-harness review/harness/*.cpp -ljsoncpp -lpthread
