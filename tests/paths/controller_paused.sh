#!/usr/bin/env bash
# The group keeper is stopped (SIGSTOP) past its bound while a member dies;
# the other daemon takes over; the one that wakes does no harm.
BASE_PORT=22800
. "$(dirname "$0")/common.sh"
start_system "checks_fence=${CHECKS_FENCE:-1}"

freeze a
victim=$(index_of "$(leader_of "$B" 0)")
faults "$(engine "$victim")" '{"dead":true}'
is_keeper () { equals "$(get "$1/burdockdale/state" | jq .group_keeper)" true; }
is_out () { equals "$(get "$1/burdockdale/state" | jq --arg m "engine-$2" '[.groups[].members[] | select(. == $m)] | length')" 0; }
check "the other daemon is the keeper" until_true 8 is_keeper "$B"
check "it takes the dead member out" until_true 12 is_out "$B" "$victim"
check "and mends the group" until_true 12 has_open_groups "$B" drafts 2
faults "$(engine "$victim")" '{"dead":false}'
thaw a
sleep 2
check "after the wake every replica is whole" until_true 10 has_open_groups "$A" drafts 2
check "for both" until_true 10 has_open_groups "$B" drafts 2
allotted=$(get "$PLATFORM/objects/allotment/north" | jq '[.data.groups[].members[]] | length')
distinct=$(get "$PLATFORM/objects/allotment/north" | jq '[.data.groups[].members[]] | unique | length')
check "no instance is in two groups" equals "$allotted" "$distinct"
check "no engine obeyed an older order" equals "$(record | jq '[.[] | select(.event == "old-order-obeyed")] | length')" 0
check "answers are whole" equals "$(complete "$A" z 12 | jq -r .usage.completion_tokens)" 12
done_checks
