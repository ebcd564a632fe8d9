#!/usr/bin/env bash
# Runs the driver of case N in a temporary folder; ends what it started. Usage: run-case.sh N
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/.." || exit 2
case_number=$1
if [ ! -x "review/build/review-case-$case_number" ] || [ ! -x target/bin/jl-node ]; then
    echo "build first: the deploy file's build and review/build.sh" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
code=2
timeout --kill-after=5 "${LIMIT_S:-110}" "review/build/review-case-$case_number" "$folder" "review/$case_number/record.txt"
code=$?
[ "${KEEP:-0}" = 1 ] && echo "kept $folder" || rm -rf "$folder"
[ "$code" -gt 2 ] && code=2
exit "$code"
