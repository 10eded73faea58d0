#!/usr/bin/env bash
# The connections between two daemons of a data centre are cut while both still
# reach the engines and the platform.  Both act as the group controller, but
# only one of them can write the assignment.  No instance is in two groups and
# no booking runs twice.  After the partition both have the same groups again.
BASE_PORT=25800
PEERS_VIA_PIPE=yes
. "$(dirname "$0")/common.sh"
CONTROL=http://$HOST:$((BASE_PORT + 9))
start_process pipe "$FAKES" pipe "address=$HOST" "port=$((BASE_PORT + 9))" \
  "pipes=$((BASE_PORT + 151)):$((BASE_PORT + 101)),$((BASE_PORT + 152)):$((BASE_PORT + 102))"
start_system

live_member_count () { get "$1/burdockdale/state" | jq '[.members[] | select(.live)] | length'; }
has_live_members () { [ "$(live_member_count "$1")" = "$2" ]; }
check "each daemon knows the other" wait_until 5 has_live_members "$A" 2
set_faults "$CONTROL" '{"cut":true}'
check "daemon a has no live peer" wait_until 6 has_live_members "$A" 1
check "daemon b has no live peer" wait_until 6 has_live_members "$B" 1
is_controller () { [ "$(get "$1/burdockdale/state" | jq .group_keeper)" = true ]; }
check "daemon b also acts as the controller" wait_until 5 is_controller "$B"
victim=$(engine_index "$(group_leader "$A" 0)")
set_faults "$(engine_url "$victim")" '{"dead":true}'
is_victim_removed () { [ "$(get "$PLATFORM/objects/allotment/north" | jq --arg m "engine-$victim" '[.data.groups[].members[] | select(. == $m)] | length')" = 0 ]; }
check "the dead member is replaced" wait_until 15 is_victim_removed
check "both groups are open at daemon a" wait_until 15 has_open_groups "$A" drafts 2
check "both groups are open at daemon b" wait_until 15 has_open_groups "$B" drafts 2
for i in $(seq 1 10); do
  post_booking "$A" "cut-$i" >"$WORK/cut-a-$i" &
  post_booking "$B" "cut-$i" >"$WORK/cut-b-$i" &
done
wait_for_requests
for i in $(seq 1 10); do check "booking $i ran once" is_equal "$(run_count "cut-$i")" 1; done
members=$(get "$PLATFORM/objects/allotment/north" | jq '[.data.groups[].members[]]')
check "no instance is in two groups" is_equal "$(jq length <<<"$members")" "$(jq 'unique | length' <<<"$members")"
check "no engine carried out an outdated order" is_equal "$(engine_events | jq '[.[] | select(.event == "old-order-obeyed")] | length')" 0

set_faults "$CONTROL" '{"cut":false}'
check "each daemon knows the other again" wait_until 8 has_live_members "$A" 2
check "daemon b is no longer the controller" wait_until 8 bash -c "[ \"\$(curl -s $B/burdockdale/state | jq .group_keeper)\" = false ]"
has_same_groups () { [ "$(get "$A/burdockdale/state" | jq -c '[.groups[] | [.id, .incarnation]]')" = "$(get "$B/burdockdale/state" | jq -c '[.groups[] | [.id, .incarnation]]')" ]; }
check "both have the same groups" wait_until 8 has_same_groups
check "both groups are open at daemon b" wait_until 8 has_open_groups "$B" drafts 2
print_check_count
