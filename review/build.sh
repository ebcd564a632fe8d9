#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into review/build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
pids=()
compile() {
    ${CXX:-g++} -std=c++17 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -Istandin "$1" -o "build/$2" &
    pids+=($!)
}
compile standin/platform.cpp review-platform
compile standin/worker.cpp review-worker
for driver in [1-5]/driver.cpp; do
    [ -e "$driver" ] && compile "$driver" "review-case-${driver%%/*}"
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
