#!/bin/sh
# Builds the stand-ins and drivers of the cases 6 and later into build-review-2/. Run it after the build of the deploy
# file. It needs the compiler alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/rig-2/*.cpp; do
  ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -I review/rig-2 "$source" \
    -o "build-review-2/$(basename "$source" .cpp)"
done
