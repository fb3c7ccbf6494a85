#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -c "$source" \
    -o "target/review/$(basename "$source" .cc).o" &
done
wait
g++ target/review/*.o -o target/review/small_site -pthread
