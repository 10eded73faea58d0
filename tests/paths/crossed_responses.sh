#!/usr/bin/env bash
# Answers under another attempt's id or another incarnation, and answers that
# are cut in the middle, are never given to a caller.
BASE_PORT=24200
. "$(dirname "$0")/common.sh"
start_system

# A call may be placed elsewhere while the faulty leader is under suspicion:
# calls go on until one has met the fault.
meets () { # meets COUNTER
  is_equal "$(post_completion "$A" "mine" 12 | jq -r '.choices[0].text')" "$right" || fail "the caller gets its own whole answer"
  test "$(metric_value "$A" "$1")" -ge 1
}

right=$(post_completion "$A" "mine" 12 | jq -r '.choices[0].text')
for fault in wrong_id wrong_incarnation cut_whole; do
  leader=$(engine_index "$(group_leader "$A" 0)")
  for n in 1 2 3; do
    set_faults "$(engine_url "$leader")" "{\"$fault\":1}"
    check "$fault: the caller gets its own whole answer" is_equal "$(post_completion "$A" "mine" 12 | jq -r '.choices[0].text')" "$right"
  done
  case $fault in
    wrong_id) wait_until 10 meets crossed_answers_total || fail "no call met $fault";;
    wrong_incarnation) wait_until 10 meets wrong_incarnation_total || fail "no call met $fault";;
  esac
  set_faults "$(engine_url "$leader")" "{\"$fault\":0}"
  wait_until 5 has_open_groups "$A" drafts 2 || fail "$fault: groups"
done
post_stream "$A" "mine" 12 >"$WORK/right"
set_faults "$(engine_url "$leader")" '{"wrong_id":1}'
post_stream "$A" "mine" 12 >"$WORK/stream"
check "nor in a stream" is_equal "$(stream_tokens "$WORK/stream")" "$(stream_tokens "$WORK/right")"
check "they are counted" test "$(metric_value "$A" crossed_answers_total)" -ge 1
check "and so are foreign incarnations" test "$(metric_value "$A" wrong_incarnation_total)" -ge 1
# With nothing but wrong answers the caller is told so.
for i in $(seq 0 9); do set_faults "$(engine_url "$i")" '{"wrong_id":9}'; done
check "a failure rather than a foreign answer" is_equal "$(post_completion "$B" "mine" 12 | jq -r .kind)" endpoint-failed
print_check_count
