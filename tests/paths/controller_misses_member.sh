#!/usr/bin/env bash
# The connections between the group controller and one member of a group are cut
# while the other daemon still reaches the member and streams from its group.
# The group is left as it is and the streams finish.
BASE_PORT=27800
. "$(dirname "$0")/common.sh"
LISTS=http://$HOST:$((BASE_PORT + 10))
CONTROL=http://$HOST:$((BASE_PORT + 41))
start_system token_ms=5

groups () { get "$1/burdockdale/state" | jq -c '[.groups[] | [.id, .incarnation, .members]]'; }
is_controller () { [ "$(get "$1/burdockdale/state" | jq .group_keeper)" = true ]; }
member=$(get "$A/burdockdale/state" | jq -r '[.groups[] | select(.service == "drafts")][0].members[2]')
# Daemon a has a list of its own, in which the member is behind a pipe.
start_process pipe "$FAKES" pipe "address=$HOST" "port=$((BASE_PORT + 41))" \
  "pipes=$((BASE_PORT + 40)):$((ENGINE_PORT + $(engine_index "$member")))"
start_process lists "$FAKES" platform "address=$HOST" "port=$((BASE_PORT + 10))"
wait_until 5 get "$LISTS/record" || fail "the second list did not start"
get -X PUT "$LISTS/instances" >/dev/null -d \
  "{\"instances\":$(jq -c --arg n "$member" --argjson p $((BASE_PORT + 40)) 'map(if .name == $n then .port = $p else . end)' <<<"$INSTANCES")}"
kill_process a
sed -i "s|^instances_url = .*|instances_url = \"$LISTS/instances\"|" "$WORK/a.toml"
start_process a "$BIN" serve --settings "$WORK/a.toml"
check "daemon a is the controller" wait_until 10 is_controller "$A"
check "both groups are open at daemon a" wait_until 10 has_open_groups "$A" drafts 2
sleep 2
check "both groups are open at daemon b" wait_until 10 has_open_groups "$B" drafts 2
before=$(groups "$A")

for i in 1 2 3 4 5 6; do post_stream "$B" "long $i" 600 >"$WORK/stream-$i" & done
sleep 0.3
set_faults "$CONTROL" '{"cut":true}'
wait_for_requests
engine_events >"$WORK/record"
check "no stream was started a second time" is_equal "$(jq '[.[] | select(.event == "started")] | length' "$WORK/record")" 6
check_streams "$WORK/stream" 6 600
check "the groups are as before" is_equal "$(groups "$A")" "$before"
set_faults "$CONTROL" '{"cut":false}'
check "both groups are open at daemon a again" wait_until 5 has_open_groups "$A" drafts 2
check "the groups are still as before" is_equal "$(groups "$A")" "$before"
print_check_count
