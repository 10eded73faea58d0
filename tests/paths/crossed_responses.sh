#!/usr/bin/env bash
# Answers under another attempt's id or another incarnation, and answers that
# are cut in the middle, are never given to a caller.
BASE_PORT=24200
. "$(dirname "$0")/common.sh"
start_system

# A call may be placed elsewhere while the faulty leader is under suspicion:
# calls go on until one has met the fault.
meets () { # meets COUNTER
  equals "$(complete "$A" "mine" 12 | jq -r '.choices[0].text')" "$right" || fail "the caller gets its own whole answer"
  test "$(counter "$A" "$1")" -ge 1
}

right=$(complete "$A" "mine" 12 | jq -r '.choices[0].text')
for fault in wrong_id wrong_incarnation cut_whole; do
  leader=$(index_of "$(leader_of "$A" 0)")
  for n in 1 2 3; do
    faults "$(engine "$leader")" "{\"$fault\":1}"
    check "$fault: the caller gets its own whole answer" equals "$(complete "$A" "mine" 12 | jq -r '.choices[0].text')" "$right"
  done
  case $fault in
    wrong_id) until_true 10 meets crossed_answers_total || fail "no call met $fault";;
    wrong_incarnation) until_true 10 meets wrong_incarnation_total || fail "no call met $fault";;
  esac
  faults "$(engine "$leader")" "{\"$fault\":0}"
  until_true 5 has_open_groups "$A" drafts 2 || fail "$fault: groups"
done
stream "$A" "mine" 12 >"$WORK/right"
faults "$(engine "$leader")" '{"wrong_id":1}'
stream "$A" "mine" 12 >"$WORK/stream"
check "nor in a stream" equals "$(tokens_of "$WORK/stream")" "$(tokens_of "$WORK/right")"
check "they are counted" test "$(counter "$A" crossed_answers_total)" -ge 1
check "and so are foreign incarnations" test "$(counter "$A" wrong_incarnation_total)" -ge 1
# With nothing but wrong answers the caller is told so.
for i in $(seq 0 9); do faults "$(engine "$i")" '{"wrong_id":9}'; done
check "a failure rather than a foreign answer" equals "$(complete "$B" "mine" 12 | jq -r .kind)" endpoint-failed
done_checks
