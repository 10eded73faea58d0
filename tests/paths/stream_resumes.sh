#!/usr/bin/env bash
# A stream breaks in the middle and goes on elsewhere, with no token lost or
# doubled; where it cannot, the caller gets an error event.
BASE_PORT=22200
. "$(dirname "$0")/common.sh"
start_system

stream "$A" "whole" 60 >"$WORK/whole"
check "a stream is whole" equals "$(grep -c '"text":' "$WORK/whole")" 60
for i in $(seq 0 9); do faults "$(engine "$i")" '{"break_after":25}'; done
stream "$B" "whole" 60 >"$WORK/broken"
for i in $(seq 0 9); do faults "$(engine "$i")" '{"break_after":0}'; done
check "a broken stream is resumed without loss" equals "$(tokens_of "$WORK/broken")" "$(tokens_of "$WORK/whole")"
check "it has its end mark" grep -q '^data: \[DONE\]' "$WORK/broken"
check "b counted a resume" test "$(counter "$B" resumes_total)" -ge 1

# Every engine dies in the middle: an explicit error, never a silent end.
stream "$A" "lost" 300 >"$WORK/lost" &
reader=$!
sleep 0.5
for i in $(seq 0 9); do faults "$(engine "$i")" '{"dead":true}'; done
wait "$reader"
check "a lost stream ends with an error event" grep -q '^event: error' "$WORK/lost"
check "and with no end mark" bash -c "! grep -q DONE '$WORK/lost'"
check "its run state is not 'not-run'" bash -c "! grep -q not-run '$WORK/lost'"
done_checks
