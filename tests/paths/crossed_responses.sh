#!/usr/bin/env bash
# A caller never gets a response with the id of another attempt or with another
# incarnation, nor a truncated or malformed response.
BASE_PORT=24200
. "$(dirname "$0")/common.sh"
start_system

# triggers_fault METRIC: sends one call and checks METRIC.  Repeated until a
# call has reached the faulty leader: while the leader is suspected, calls go
# to other groups.
triggers_fault () {
  is_equal "$(post_completion "$A" "mine" 12 | jq -r '.choices[0].text')" "$expected" || fail "the caller gets its own complete response"
  test "$(metric_value "$A" "$1")" -ge 1
}

expected=$(post_completion "$A" "mine" 12 | jq -r '.choices[0].text')
for fault in wrong_id wrong_incarnation cut_whole; do
  leader=$(engine_index "$(group_leader "$A" 0)")
  for n in 1 2 3; do
    set_faults "$(engine_url "$leader")" "{\"$fault\":1}"
    check "$fault: the caller gets its own complete response" is_equal "$(post_completion "$A" "mine" 12 | jq -r '.choices[0].text')" "$expected"
  done
  case $fault in
    wrong_id) wait_until 10 triggers_fault crossed_answers_total || fail "no call triggered $fault";;
    wrong_incarnation) wait_until 10 triggers_fault wrong_incarnation_total || fail "no call triggered $fault";;
  esac
  set_faults "$(engine_url "$leader")" "{\"$fault\":0}"
  wait_until 5 has_open_groups "$A" drafts 2 || fail "$fault: not all groups are open again"
done
post_stream "$A" "mine" 12 >"$WORK/expected"
set_faults "$(engine_url "$leader")" '{"wrong_id":1}'
post_stream "$A" "mine" 12 >"$WORK/stream"
check "a stream has only its own tokens" is_equal "$(stream_tokens "$WORK/stream")" "$(stream_tokens "$WORK/expected")"
check "responses with a wrong id are counted" test "$(metric_value "$A" crossed_answers_total)" -ge 1
check "responses with a wrong incarnation are counted" test "$(metric_value "$A" wrong_incarnation_total)" -ge 1
# If every engine responds with a wrong id, the caller gets an error.
for i in $(seq 0 9); do set_faults "$(engine_url "$i")" '{"wrong_id":9}'; done
check "the caller gets an error, not the response to another attempt" is_equal "$(post_completion "$B" "mine" 12 | jq -r .kind)" endpoint-failed
for i in $(seq 0 9); do set_faults "$(engine_url "$i")" '{"wrong_id":0,"old_refusal":9}'; done
# The refusal of another attempt is no refusal of one that has started.
check "a call that has started isn't reported as not run" is_equal "$(post_completion "$A" "mine" 12 | jq -r .run)" unknown
post_stream "$A" "mine" 12 >"$WORK/refused"
check "nor is a stream" bash -c "! grep -q 'not-run' '$WORK/refused'"
# A response whose head is not valid HTTP is none, and the request has run.
set_faults "$LEAGUE" '{"malformed":1}'
post_booking "$A" malformed-1 >"$WORK/malformed"
check "the caller doesn't get a malformed response" is_equal "$(jq -r '"\(.kind) \(.run)"' "$WORK/malformed")" "endpoint-failed unknown"
check "the request has run once" is_equal "$(run_count malformed-1)" 1
check "malformed responses are counted" test "$(metric_value "$A" responses_malformed_total)" -ge 1
check "the next response is the service's" is_equal "$(post_booking "$A" sound-1 | jq -r .key)" sound-1
print_check_count
