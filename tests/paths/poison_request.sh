#!/usr/bin/env bash
# A caller repeats a request that crashes every engine which runs it, through
# both daemons.  At most two engines crash, and the requests of other callers
# succeed.
BASE_PORT=23400
. "$(dirname "$0")/common.sh"
start_system

for i in $(seq 0 9); do set_faults "$(engine_url "$i")" '{"crash_on":"poison"}'; done
for i in $(seq 1 12); do post_completion "$A" "other $i" 60 >"$WORK/other-$i" & done
sleep 0.1
for i in $(seq 1 6); do
  post_completion "$A" "poison" >"$WORK/poison" || true
  post_completion "$B" "poison" >>"$WORK/poison" || true
done
wait_for_requests
crashes=$(engine_events | jq '[.[] | select(.event == "crashed-by-request")] | length')
check "at most two crashes" test "$crashes" -le 2
check "further repeats are rejected" grep -q '"kind":"suspect"' "$WORK/poison"
for i in $(seq 1 12); do
  check "request $i of another caller succeeds" is_equal "$(jq -r .usage.completion_tokens "$WORK/other-$i")" 60
done
check "the groups are repaired" wait_until 15 has_open_groups "$A" drafts 2
print_check_count
