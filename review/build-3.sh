#!/usr/bin/env bash
# Builds the stand-ins and the cases 7 to 11 into build/review-3.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
sources=review/harness-3
out=build/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -I/usr/include/jsoncpp -I"$sources")
common=()
for name in Http Text Store Runner Cell Case; do
  "${CXX:-g++}" "${flags[@]}" -c "$sources/$name.cpp" -o "$out/$name.o" &
  common+=("$out/$name.o")
done
for job in $(jobs -p); do
  wait "$job"
done
for case in "$sources"/Case[0-9]*.cpp; do
  name=$(basename "$case" .cpp)
  "${CXX:-g++}" "${flags[@]}" "$case" "${common[@]}" -o "$out/$name" -ljsoncpp
done
