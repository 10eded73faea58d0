#!/usr/bin/env bash
# The group keeper is stopped (SIGSTOP) past its bound while a member dies;
# the other daemon takes over; the one that wakes does no harm.
BASE_PORT=22800
. "$(dirname "$0")/common.sh"
start_system "checks_fence=${CHECKS_FENCE:-1}"

pause_process a
victim=$(engine_index "$(group_leader "$B" 0)")
set_faults "$(engine_url "$victim")" '{"dead":true}'
is_keeper () { is_equal "$(get "$1/burdockdale/state" | jq .group_keeper)" true; }
is_out () { is_equal "$(get "$1/burdockdale/state" | jq --arg m "engine-$2" '[.groups[].members[] | select(. == $m)] | length')" 0; }
check "the other daemon is the keeper" wait_until 8 is_keeper "$B"
check "it takes the dead member out" wait_until 12 is_out "$B" "$victim"
check "and mends the group" wait_until 12 has_open_groups "$B" drafts 2
set_faults "$(engine_url "$victim")" '{"dead":false}'
resume_process a
sleep 2
check "after the wake every replica is whole" wait_until 10 has_open_groups "$A" drafts 2
check "for both" wait_until 10 has_open_groups "$B" drafts 2
allotted=$(get "$PLATFORM/objects/allotment/north" | jq '[.data.groups[].members[]] | length')
distinct=$(get "$PLATFORM/objects/allotment/north" | jq '[.data.groups[].members[]] | unique | length')
check "no instance is in two groups" is_equal "$allotted" "$distinct"
check "no engine obeyed an older order" is_equal "$(engine_events | jq '[.[] | select(.event == "old-order-obeyed")] | length')" 0
check "answers are whole" is_equal "$(post_completion "$A" z 12 | jq -r .usage.completion_tokens)" 12
print_check_count
