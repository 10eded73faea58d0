#!/usr/bin/env bash
# An engine dies under load.  Its replica serves no requests until a spare has
# replaced the engine, and every caller gets exactly one complete response to
# its own request.
BASE_PORT=22000
. "$(dirname "$0")/common.sh"
start_system

for i in $(seq 1 40); do post_completion "$A" "prompt $i" 20 >"$WORK/response-$i" & done
sleep 0.05
victim=$(engine_index "$(group_leader "$A" 0)")
set_faults "$(engine_url "$victim")" '{"dead":true}'
wait_for_requests

for i in $(seq 1 40); do
  check "response $i is complete" is_equal "$(jq -r .usage.completion_tokens "$WORK/response-$i")" 20
done
check "the replica is repaired" wait_until 10 has_open_groups "$A" drafts 2
check "the dead engine is in no group" is_equal \
  "$(get "$A/burdockdale/state" | jq --arg m "engine-$victim" '[.groups[].members[] | select(. == $m)] | length')" 0
check "the dead engine got no request later than the freshness bound after its failure" \
  is_equal "$(engine_events | jq '([.[] | select(.event == "dead")][0].at) as $t | [.[] | select(.event == "started" and .at > $t + 1100)] | map(select(.instance == "engine-'"$victim"'")) | length')" 0
# The same prompt gives the same text on every replica, so different text would
# be the response to another request.
repeated=$(post_completion "$B" "prompt 7" 20 | jq -r '.choices[0].text')
check "a response belongs to its own request" is_equal "$(jq -r '.choices[0].text' "$WORK/response-7")" "$repeated"
print_check_count
