#!/usr/bin/env bash
# A start gets no answer and is carried out 8 s later. Its worker restarts under its id meanwhile, and is
# cut off just after the start was carried out. See claim.txt.
set -u
here=$(cd "$(dirname "$0")" && pwd)
late_ms=8000
task_ms=60000 # the tasks outlast the case
. "$here/../11/common.sh"
start_all
job() { # SPECIFICATION TASKS CPU
    echo "{\"specification\":\"$1\",\"steps\":[{\"count\":$2,\"cpu\":$3,\"memoryRequestMb\":256,\"estimatedMs\":60000}]}"
}
submit() { # ID SPECIFICATION TASKS CPU
    local answer
    answer=$("$tool" call "${fronts[0]}" POST "/plans/$1" "$(job "$2" "$3" "$4")" 3000)
    note "POST $1: $answer"
    case $answer in 200*) ;; *) finish 2 "a job was not accepted: $answer" ;; esac
}
report() { "$tool" call "$platform" GET /standin/report "" 2000; }
# Two tasks fill a worker. Fifteen leave one place free, where the small job will go.
submit 00000000000000d1 visits 1 32000
sleep 0.5
submit 00000000000000a1 visits 14 32000
sleep 17
if [ "$trouble" = 0 ]; then
    submit 00000000000000b1 visits 1 1000
    sleep 0.7
else
    submit 00000000000000b1 late 1 1000
    began=$(date +%s%N)
    for _ in $(seq 50); do
        worker=$(sed -n 's/.*late start first \([^ ]*\) run .*/\1/p' "$record")
        [ -n "$worker" ] && break
        sleep 0.05
    done
    [ -n "$worker" ] || finish 2 "no start was late"
    # The number of the worker among those that are registered, in the order of their names.
    number=$("$tool" call "$platform" GET "/api/kv-range?prefix=servers/" "" 2000 |
        grep -o '"key":"servers/[^"]*"' | sort | grep -n "/$worker\"" | cut -d: -f1)
    [ -n "$number" ] || finish 2 "worker $worker is not registered"
    sleep 0.7
    # The worker is back after 0.3 s; its cut begins 8.3 s after the first start and lasts 5.5 s.
    passed=$((($(date +%s%N) - began) / 1000000))
    cut_after=$((8300 - passed - 300))
    note "$worker restarts; it is cut off $cut_after ms after it is back, for 5500 ms"
    "$tool" call "$platform" POST /standin/control \
        "{\"restart_worker\":$((number - 1)),\"cut_after_ms\":$cut_after,\"cut_ms\":5500}" 2000 >> "$record"
fi
sleep 6.5
# Leaves room for one task on another worker.
note "DELETE 00000000000000d1: $("$tool" call "${fronts[0]}" DELETE /plans/00000000000000d1 "" 3000)"
sleep 12
text=$(report | grep -o '"violations":.*')
count=$(echo "$text" | grep -o 'starts on' | wc -l)
note "$text"
if [ "$count" -gt 0 ]; then finish 1 "BROKEN (TWICE): $count starts beside another run of the same task; $(echo "$text" | head -c 300)"; fi
finish 0 "held: $text"
