#!/usr/bin/env bash
# Both daemons stand still (SIGSTOP) for longer than dead_after_ms while a group
# drains with running streams.  The drain waits for the streams, and then a
# spare replaces the leaving member.
BASE_PORT=28000
. "$(dirname "$0")/common.sh"
start_system token_ms=5

leaving=$(get "$A/burdockdale/state" | jq -r '[.groups[] | select(.service == "drafts")][0].members[2]')
for i in 1 2 3 4 5 6; do post_stream "$B" "long $i" 800 >"$WORK/stream-$i" & done
sleep 0.3
set_instance_state "$leaving" leaving
is_draining () { get "$A/burdockdale/state" | jq -e '[.groups[] | select(.gate == "draining")] | length == 1'; }
check "the group drains" wait_until 3 is_draining
sleep 0.5
pause_process a
pause_process b
sleep 2.2
resume_process a
resume_process b
for job in $(jobs -p); do [[ " ${PIDS[*]} " == *" $job "* ]] || wait "$job"; done
check "no stream was started a second time" is_equal "$(engine_events | jq '[.[] | select(.event == "started")] | length')" 6
for i in 1 2 3 4 5 6; do
  check "stream $i is complete" is_equal "$(grep -c '"text":' "$WORK/stream-$i")" 800
  check "stream $i has the [DONE] event" grep -q DONE "$WORK/stream-$i"
done
is_free () { is_equal "$(get "$A/burdockdale/state" | jq --arg m "$1" '[.groups[].members[] | select(. == $m)] | length')" 0; }
check "the leaving member is in no group" wait_until 10 is_free "$leaving"
check "a spare replaces it" wait_until 10 has_open_groups "$A" drafts 2
print_check_count
