#!/usr/bin/env bash
# Six jobs with many repetitions are handed in, each with one POST of about 140 bytes. See claim.txt.
set -u
here=$(cd "$(dirname "$0")" && pwd)
platform_program=$(cd "$here/../.." && pwd)/build/review-3/bin/review-3-platform
. "$here/../11/common.sh"
start_all
"$tool" small 1 40 "$record" "${fronts[@]}" &
small=$!
pids+=("$small")
if [ "$trouble" != 0 ]; then
    sleep 5
    "$tool" timed 6 "$record" "${fronts[@]}"
fi
wait "$small"
sleep 2
# The end of the traffic: the jobs are asked for during finish_s.
read -r accepted unfinished unknown < <("$tool" ask 14 "$record" "${fronts[@]}")
# Jobs of which the workers have not been asked to start a single task since they were accepted, 14 s ago
# and more.
"$tool" call "$platform" GET /standin/report "" 10000 > "$work/report"
unstarted=0
for id in $(sed -n 's/.*small accepted //p' "$record"); do
    grep -q "\"$id\." "$work/report" || unstarted=$((unstarted + 1))
done
# The stand-in itself has to answer at once.
before=$(date +%s%N)
last=$(leader)
after_ms=$((($(date +%s%N) - before) / 1000000))
text="small jobs accepted: $accepted, of these not completed: $unfinished, without any state: $unknown, without any start: $unstarted; timed jobs accepted: $(grep -c 'timed accepted' "$record"); leader at the end: $last, said by the platform within $after_ms ms"
if [ ! -s "$work/report" ] || [ "$accepted" -lt 3 ]; then finish 2 "no service: $text"; fi
if [ "$unknown" -gt 0 ] || [ "$unstarted" -gt 0 ]; then finish 1 "BROKEN (LOST): $text"; fi
finish 0 "held: $text"
