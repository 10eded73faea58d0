#!/usr/bin/env bash
# The connections between two daemons of a data centre are cut while both
# reach the engines and the platform: both take themselves for the keeper, one
# writes; no instance is in two groups, no booking runs twice, an account gets
# no more than its limit; after the cut they agree again.
BASE_PORT=25800
PIPED=yes
. "$(dirname "$0")/common.sh"
CONTROL=http://127.0.0.1:$((BASE_PORT + 9))
start pipe "$FAKES" pipe "port=$((BASE_PORT + 9))" \
  "pipes=$((BASE_PORT + 151)):$((BASE_PORT + 101)),$((BASE_PORT + 152)):$((BASE_PORT + 102))"
start_system

others () { get "$1/burdockdale/state" | jq '[.members[] | select(.live)] | length'; }
sees () { [ "$(others "$1")" = "$2" ]; }
check "they see each other" until_true 5 sees "$A" 2
faults "$CONTROL" '{"cut":true}'
check "a is alone" until_true 6 sees "$A" 1
check "b is alone" until_true 6 sees "$B" 1
is_keeper () { [ "$(get "$1/burdockdale/state" | jq .group_keeper)" = true ]; }
check "both take themselves for the keeper" until_true 5 is_keeper "$B"
victim=$(index_of "$(leader_of "$A" 0)")
faults "$(engine "$victim")" '{"dead":true}'
out () { [ "$(get "$PLATFORM/objects/allotment/north" | jq --arg m "engine-$victim" '[.data.groups[].members[] | select(. == $m)] | length')" = 0 ]; }
check "the dead member is replaced" until_true 15 out
check "a serves whole replicas" until_true 15 has_open_groups "$A" drafts 2
check "so does b" until_true 15 has_open_groups "$B" drafts 2
for i in $(seq 1 10); do
  book "$A" "cut-$i" >"$WORK/cut-a-$i" &
  book "$B" "cut-$i" >"$WORK/cut-b-$i" &
done
for job in $(jobs -p); do [[ " ${PIDS[*]} " == *" $job "* ]] || wait "$job"; done
for i in $(seq 1 10); do check "booking $i ran once" equals "$(runs "cut-$i")" 1; done
members=$(get "$PLATFORM/objects/allotment/north" | jq '[.data.groups[].members[]]')
check "no instance is in two groups" equals "$(jq length <<<"$members")" "$(jq 'unique | length' <<<"$members")"
check "no engine obeyed an older order" equals "$(record | jq '[.[] | select(.event == "old-order-obeyed")] | length')" 0

faults "$CONTROL" '{"cut":false}'
check "they see each other again" until_true 8 sees "$A" 2
check "and b gives the duty back" until_true 8 bash -c "[ \"\$(curl -s $B/burdockdale/state | jq .group_keeper)\" = false ]"
same () { [ "$(get "$A/burdockdale/state" | jq -c '[.groups[] | [.id, .incarnation]]')" = "$(get "$B/burdockdale/state" | jq -c '[.groups[] | [.id, .incarnation]]')" ]; }
check "they hold the same groups" until_true 8 same
check "whole ones" until_true 8 has_open_groups "$B" drafts 2
done_checks
