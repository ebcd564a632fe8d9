#!/usr/bin/env bash
# Builds the stand-ins of the script cases 11 to 15: the project's own stand-in of the platform and
# the clients of review/11/tool.cpp.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build/review-3 -DCMAKE_BUILD_TYPE=Release
cmake --build build/review-3 --target jl-standin-users-platform -j6
g++ -std=c++17 -O2 -Wall -Wextra -pthread review/11/tool.cpp -o build/review-3/bin/review-3-tool
