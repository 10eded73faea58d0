#!/usr/bin/env bash
# A request that crashes each engine which runs it, sent again by its caller
# through both daemons: at most two crashes; the innocents are answered.
BASE_PORT=23400
. "$(dirname "$0")/common.sh"
start_system

for i in $(seq 0 9); do set_faults "$(engine_url "$i")" '{"crash_on":"poison"}'; done
for i in $(seq 1 12); do post_completion "$A" "innocent $i" 60 >"$WORK/innocent-$i" & done
sleep 0.1
for i in $(seq 1 6); do
  post_completion "$A" "poison" >"$WORK/poison" || true
  post_completion "$B" "poison" >>"$WORK/poison" || true
done
for job in $(jobs -p); do [[ " ${PIDS[*]} " == *" $job "* ]] || wait "$job"; done
crashes=$(engine_events | jq '[.[] | select(.event == "crashed-by-request")] | length')
check "at most two crashes" test "$crashes" -le 2
check "and it is refused as a suspect" grep -q '"kind":"suspect"' "$WORK/poison"
for i in $(seq 1 12); do
  check "innocent $i is answered" is_equal "$(jq -r .usage.completion_tokens "$WORK/innocent-$i")" 60
done
check "the groups are mended" wait_until 15 has_open_groups "$A" drafts 2
print_check_count
