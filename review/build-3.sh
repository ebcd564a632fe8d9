#!/usr/bin/env bash
# Builds the stand-ins of the script cases 11 to 15: the project's own stand-in of the platform, the
# same with more room for the calls of the store (case 12), and the clients of review/11/tool.cpp.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-3
rm -rf "$out" # it may have been carried over from another machine
cmake -S . -B "$out" -DCMAKE_BUILD_TYPE=Release -G "Unix Makefiles"
cmake --build "$out" --target jl-standin-users-platform -j6
g++ -std=c++17 -O2 -Wall -Wextra -pthread review/11/tool.cpp -o "$out/bin/review-3-tool"
# Links what the project's stand-in links, behind an object that holds the changed stand-in.
libraries=$(tr ' ' '\n' < "$out/CMakeFiles/jl-standin-users-platform.dir/link.txt" |
    grep -E '^(-l|-pthread|-Wl,)|\.(a|so)([.0-9]*)$' | tr '\n' ' ')
g++ -std=c++17 -O2 -I. -Isrc -c review/12/platform.cpp -o "$out/review-3-platform.o"
# shellcheck disable=SC2086
(cd "$out" && g++ review-3-platform.o $libraries -o bin/review-3-platform)
