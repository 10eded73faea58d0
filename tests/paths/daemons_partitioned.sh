#!/usr/bin/env bash
# The connections between two daemons of a data centre are cut while both
# reach the engines and the platform: both take themselves for the keeper, one
# writes; no instance is in two groups, no booking runs twice, an account gets
# no more than its limit; after the cut they agree again.
BASE_PORT=25800
PEERS_VIA_PIPE=yes
. "$(dirname "$0")/common.sh"
CONTROL=http://127.0.0.1:$((BASE_PORT + 9))
start_process pipe "$FAKES" pipe "port=$((BASE_PORT + 9))" \
  "pipes=$((BASE_PORT + 151)):$((BASE_PORT + 101)),$((BASE_PORT + 152)):$((BASE_PORT + 102))"
start_system

others () { get "$1/burdockdale/state" | jq '[.members[] | select(.live)] | length'; }
sees () { [ "$(others "$1")" = "$2" ]; }
check "they see each other" wait_until 5 sees "$A" 2
set_faults "$CONTROL" '{"cut":true}'
check "a is alone" wait_until 6 sees "$A" 1
check "b is alone" wait_until 6 sees "$B" 1
is_keeper () { [ "$(get "$1/burdockdale/state" | jq .group_keeper)" = true ]; }
check "both take themselves for the keeper" wait_until 5 is_keeper "$B"
victim=$(engine_index "$(group_leader "$A" 0)")
set_faults "$(engine_url "$victim")" '{"dead":true}'
out () { [ "$(get "$PLATFORM/objects/allotment/north" | jq --arg m "engine-$victim" '[.data.groups[].members[] | select(. == $m)] | length')" = 0 ]; }
check "the dead member is replaced" wait_until 15 out
check "a serves whole replicas" wait_until 15 has_open_groups "$A" drafts 2
check "so does b" wait_until 15 has_open_groups "$B" drafts 2
for i in $(seq 1 10); do
  post_booking "$A" "cut-$i" >"$WORK/cut-a-$i" &
  post_booking "$B" "cut-$i" >"$WORK/cut-b-$i" &
done
for job in $(jobs -p); do [[ " ${PIDS[*]} " == *" $job "* ]] || wait "$job"; done
for i in $(seq 1 10); do check "booking $i ran once" is_equal "$(run_count "cut-$i")" 1; done
members=$(get "$PLATFORM/objects/allotment/north" | jq '[.data.groups[].members[]]')
check "no instance is in two groups" is_equal "$(jq length <<<"$members")" "$(jq 'unique | length' <<<"$members")"
check "no engine obeyed an older order" is_equal "$(engine_events | jq '[.[] | select(.event == "old-order-obeyed")] | length')" 0

set_faults "$CONTROL" '{"cut":false}'
check "they see each other again" wait_until 8 sees "$A" 2
check "and b gives the duty back" wait_until 8 bash -c "[ \"\$(curl -s $B/burdockdale/state | jq .group_keeper)\" = false ]"
same () { [ "$(get "$A/burdockdale/state" | jq -c '[.groups[] | [.id, .incarnation]]')" = "$(get "$B/burdockdale/state" | jq -c '[.groups[] | [.id, .incarnation]]')" ]; }
check "they hold the same groups" wait_until 8 same
check "whole ones" wait_until 8 has_open_groups "$B" drafts 2
print_check_count
