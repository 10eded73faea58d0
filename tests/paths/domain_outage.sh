#!/usr/bin/env bash
# All engines of a fabric domain are killed (SIGKILL).  Its group is formed
# again in the other domain, and callers are served meanwhile.  The engines of
# the failed domain return without weights and become spares.
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
wait_until 15 has_open_groups "$A" drafts 2 || fail "no open groups"
domain_count () { get "$A/burdockdale/state" | jq -r '[.groups[].domain] | unique | length'; }
check "the groups are spread over both domains" is_equal "$(domain_count)" 2

for i in $(seq 1 20); do post_completion "$A" "prompt $i" 30 >"$WORK/response-$i" & done
sleep 0.05
kill_process first
wait_for_requests
for i in $(seq 1 20); do
  check "response $i is complete" is_equal "$(jq -r .usage.completion_tokens "$WORK/response-$i")" 30
done
are_groups_in_second_domain () { [ "$(get "$A/burdockdale/state" | jq '[.groups[] | select(.domain == "fabric-2" and .gate == "open")] | length')" = 2 ]; }
check "both groups are in the other domain" wait_until 15 are_groups_in_second_domain
start_process first "$FAKES" engines "address=$HOST" name=first count=9 "port=$ENGINE_PORT" "weights=$PLATFORM"
is_first_engine_ready () { [ "$(get "http://$HOST:$ENGINE_PORT/state" | jq -r .phase)" = ready ]; }
check "the engines of the failed domain load weights" wait_until 15 is_first_engine_ready
check "they are in no group" is_equal "$(get "http://$HOST:$ENGINE_PORT/state" | jq -r .group)" ""
check "no group moves back without need" are_groups_in_second_domain
print_check_count
