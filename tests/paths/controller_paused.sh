#!/usr/bin/env bash
# The group controller is paused (SIGSTOP) for longer than keeper_bound_ms, and
# a member dies meanwhile.  The other daemon becomes the controller, and the
# paused one changes nothing when it resumes.
BASE_PORT=22800
. "$(dirname "$0")/common.sh"
start_system "checks_fence=${CHECKS_FENCE:-1}"

pause_process a
victim=$(engine_index "$(group_leader "$B" 0)")
set_faults "$(engine_url "$victim")" '{"dead":true}'
is_controller () { is_equal "$(get "$1/burdockdale/state" | jq .group_keeper)" true; }
is_removed () { is_equal "$(get "$1/burdockdale/state" | jq --arg m "engine-$2" '[.groups[].members[] | select(. == $m)] | length')" 0; }
check "the other daemon becomes the controller" wait_until 8 is_controller "$B"
check "it removes the dead member" wait_until 12 is_removed "$B" "$victim"
check "it repairs the group" wait_until 12 has_open_groups "$B" drafts 2
set_faults "$(engine_url "$victim")" '{"dead":false}'
resume_process a
sleep 2
check "both groups are open at daemon a after it resumes" wait_until 10 has_open_groups "$A" drafts 2
check "both groups are open at daemon b" wait_until 10 has_open_groups "$B" drafts 2
assigned=$(get "$PLATFORM/objects/allotment/north" | jq '[.data.groups[].members[]] | length')
distinct=$(get "$PLATFORM/objects/allotment/north" | jq '[.data.groups[].members[]] | unique | length')
check "no instance is in two groups" is_equal "$assigned" "$distinct"
check "no engine carried out an outdated order" is_equal "$(engine_events | jq '[.[] | select(.event == "old-order-obeyed")] | length')" 0
check "a completion has all of its tokens" is_equal "$(post_completion "$A" z 12 | jq -r .usage.completion_tokens)" 12
print_check_count
