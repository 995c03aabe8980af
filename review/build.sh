#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into review/bin. Needs only the C++ compiler.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [0-9]*/case.cpp; do
  number=$(dirname "$source")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I . -o "bin/case-$number" "$source"
done
