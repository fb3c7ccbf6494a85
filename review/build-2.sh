#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
common=(http text store executor adviser site proxy gate case_tools)
cases=(case_schedules case_advice case_best_effort case_revoked)
pids=()
for part in "${common[@]}" "${cases[@]}"; do
  c++ -std=c++20 -O1 -Wall -Wextra -I. -pthread -c "review/standin-2/$part.cc" -o "$out/$part.o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
objects=("${common[@]/#/$out/}")
for program in "${cases[@]}"; do
  c++ -pthread "$out/$program.o" "${objects[@]/%/.o}" -o "$out/$program"
done
