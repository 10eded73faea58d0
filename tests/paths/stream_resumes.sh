#!/usr/bin/env bash
# A stream that breaks is resumed by another attempt, without lost or repeated
# tokens.  If it can't be resumed, the caller gets an error event.
BASE_PORT=22200
. "$(dirname "$0")/common.sh"
start_system

post_stream "$A" "whole" 60 >"$WORK/whole"
check "a stream is complete" is_equal "$(grep -c '"text":' "$WORK/whole")" 60
for i in $(seq 0 9); do set_faults "$(engine_url "$i")" '{"break_after":25}'; done
post_stream "$B" "whole" 60 >"$WORK/broken"
for i in $(seq 0 9); do set_faults "$(engine_url "$i")" '{"break_after":0}'; done
check "a broken stream is resumed without lost or repeated tokens" is_equal "$(stream_tokens "$WORK/broken")" "$(stream_tokens "$WORK/whole")"
check "it has the [DONE] event" grep -q '^data: \[DONE\]' "$WORK/broken"
check "daemon b counts the resume" test "$(metric_value "$B" resumes_total)" -ge 1

# An engine writes a response of status 500 into its stream.
for i in $(seq 0 9); do set_faults "$(engine_url "$i")" '{"error_after":25}'; done
post_stream "$B" "whole" 60 >"$WORK/error"
for i in $(seq 0 9); do set_faults "$(engine_url "$i")" '{"error_after":0}'; done
check "an error of an engine doesn't enter the stream" bash -c "! grep -q 'HTTP/1.1\|oops' '$WORK/error'"
check "the stream is resumed without lost or repeated tokens" is_equal "$(stream_tokens "$WORK/error")" "$(stream_tokens "$WORK/whole")"

# All engines die during the stream: the caller gets an explicit error, never
# an end of the stream without one.
post_stream "$A" "lost" 300 >"$WORK/lost" &
reader=$!
sleep 0.5
for i in $(seq 0 9); do set_faults "$(engine_url "$i")" '{"dead":true}'; done
wait "$reader"
check "the stream ends with an error event" grep -q '^event: error' "$WORK/lost"
check "it has no [DONE] event" bash -c "! grep -q DONE '$WORK/lost'"
check "its run state isn't 'not-run'" bash -c "! grep -q not-run '$WORK/lost'"
print_check_count
