#!/usr/bin/env bash
# A whole fabric domain goes dark (kill -9 of all its engines): its group is
# formed anew in the other one, callers are served meanwhile, the domain comes
# back empty and becomes spares.
BASE_PORT=25400
. "$(dirname "$0")/common.sh"
start_platform
start_engines first 9 "$ENGINE_PORT" north fabric-1 drafting
start_engines second 9 $((ENGINE_PORT + 10)) north fabric-2 drafting
start_service league $((BASE_PORT + 60)) north league
put_instances
add_daemon a north $((BASE_PORT + 1))
add_daemon b north $((BASE_PORT + 2))
start_daemons
write_services
publish >"$WORK/publish.log" 2>&1 || fail "publish"
wait_until 15 has_open_groups "$A" drafts 2 || fail "no groups"
domains () { get "$A/burdockdale/state" | jq -r '[.groups[].domain] | unique | length'; }
check "the groups are spread over both domains" is_equal "$(domains)" 2

for i in $(seq 1 20); do post_completion "$A" "prompt $i" 30 >"$WORK/answer-$i" & done
sleep 0.05
kill_process first
for job in $(jobs -p); do [[ " ${PIDS[*]} " == *" $job "* ]] || wait "$job"; done
for i in $(seq 1 20); do
  check "answer $i is whole" is_equal "$(jq -r .usage.completion_tokens "$WORK/answer-$i")" 30
done
in_second () { [ "$(get "$A/burdockdale/state" | jq '[.groups[] | select(.domain == "fabric-2" and .gate == "open")] | length')" = 2 ]; }
check "both groups are in the other domain" wait_until 15 in_second
start_process first "$FAKES" engines name=first count=9 "port=$ENGINE_PORT" "weights=$PLATFORM"
warm () { [ "$(get "http://127.0.0.1:$ENGINE_PORT/state" | jq -r .phase)" = ready ]; }
check "the domain that comes back warms up as spares" wait_until 15 warm
check "in no group" is_equal "$(get "http://127.0.0.1:$ENGINE_PORT/state" | jq -r .group)" ""
check "nothing is moved back without need" in_second
print_check_count
