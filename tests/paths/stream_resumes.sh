#!/usr/bin/env bash
# A stream breaks in the middle and goes on elsewhere, with no token lost or
# doubled; where it cannot, the caller gets an error event.
BASE_PORT=22200
. "$(dirname "$0")/common.sh"
start_system

post_stream "$A" "whole" 60 >"$WORK/whole"
check "a stream is whole" is_equal "$(grep -c '"text":' "$WORK/whole")" 60
for i in $(seq 0 9); do set_faults "$(engine_url "$i")" '{"break_after":25}'; done
post_stream "$B" "whole" 60 >"$WORK/broken"
for i in $(seq 0 9); do set_faults "$(engine_url "$i")" '{"break_after":0}'; done
check "a broken stream is resumed without loss" is_equal "$(stream_tokens "$WORK/broken")" "$(stream_tokens "$WORK/whole")"
check "it has its end mark" grep -q '^data: \[DONE\]' "$WORK/broken"
check "b counted a resume" test "$(metric_value "$B" resumes_total)" -ge 1

# Every engine dies in the middle: an explicit error, never a silent end.
post_stream "$A" "lost" 300 >"$WORK/lost" &
reader=$!
sleep 0.5
for i in $(seq 0 9); do set_faults "$(engine_url "$i")" '{"dead":true}'; done
wait "$reader"
check "a lost stream ends with an error event" grep -q '^event: error' "$WORK/lost"
check "and with no end mark" bash -c "! grep -q DONE '$WORK/lost'"
check "its run state is not 'not-run'" bash -c "! grep -q not-run '$WORK/lost'"
print_check_count
