#!/usr/bin/env bash
# The entry of a group's leader is removed from the instance list without notice
# while the leader serves streams of a daemon that isn't the controller.  The
# streams finish, and then a spare replaces the leader.
BASE_PORT=27600
. "$(dirname "$0")/common.sh"
start_system token_ms=5

check "daemon a is the controller" is_equal "$(get "$A/burdockdale/state" | jq .group_keeper)" true
group=$(get "$B/burdockdale/state" | jq -r '[.groups[] | select(.service == "drafts")][0]')
leader=$(jq -r '.members[0]' <<<"$group")
for i in 1 2 3 4 5 6; do post_stream "$B" "long $i" 600 >"$WORK/stream-$i" & done
sleep 0.3
check "the leader serves streams" test "$(get "$(engine_url "$(engine_index "$leader")")/state" | jq .running)" -gt 0
INSTANCES=$(jq -c --arg n "$leader" 'map(select(.name != $n))' <<<"$INSTANCES")
put_instances
wait_for_requests
engine_events >"$WORK/record"
check "no stream was started a second time" is_equal "$(jq '[.[] | select(.event == "started")] | length' "$WORK/record")" 6
check "every stream finishes where it was started" is_equal "$(jq '[.[] | select(.event == "finished")] | length' "$WORK/record")" 6
check_streams "$WORK/stream" 6 600
check "the leader is in no group" wait_until 10 is_free "$leader"
check "a spare replaces the leader" wait_until 10 has_open_groups "$A" drafts 2
print_check_count
