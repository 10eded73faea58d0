#!/usr/bin/env bash
# An engine dies under load: its replica serves nothing until a spare has
# taken the place; every caller gets one whole answer of its own.
BASE_PORT=22000
. "$(dirname "$0")/common.sh"
start_system

for i in $(seq 1 40); do post_completion "$A" "prompt $i" 20 >"$WORK/answer-$i" & done
sleep 0.05
victim=$(engine_index "$(group_leader "$A" 0)")
set_faults "$(engine_url "$victim")" '{"dead":true}'
for job in $(jobs -p); do
  [[ " ${PIDS[*]} " == *" $job "* ]] || wait "$job"
done

for i in $(seq 1 40); do
  check "answer $i is whole" is_equal "$(jq -r .usage.completion_tokens "$WORK/answer-$i")" 20
done
check "the replica is mended" wait_until 10 has_open_groups "$A" drafts 2
check "the dead one is in no group" is_equal \
  "$(get "$A/burdockdale/state" | jq --arg m "engine-$victim" '[.groups[].members[] | select(. == $m)] | length')" 0
check "no engine was asked while its replica was incomplete for longer than the freshness bound" \
  is_equal "$(engine_events | jq '([.[] | select(.event == "dead")][0].at) as $t | [.[] | select(.event == "started" and .at > $t + 1100)] | map(select(.instance == "engine-'"$victim"'")) | length')" 0
# The same prompt gives the same text on every replica: none was crossed.
again=$(post_completion "$B" "prompt 7" 20 | jq -r '.choices[0].text')
check "an answer belongs to its own request" is_equal "$(jq -r '.choices[0].text' "$WORK/answer-7")" "$again"
print_check_count
