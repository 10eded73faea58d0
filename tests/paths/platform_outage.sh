#!/usr/bin/env bash
# During a platform outage the daemons continue to serve, and a daemon that
# starts gets its state from its peers.  No published configuration is lost or
# replaced by an older one.
BASE_PORT=22600
# With slow heartbeats, a starting daemon reads from the platform before it
# receives anything from its peers.
DAEMON_SETTINGS="heartbeat_ms = 700
poll_ms = 100
freshness_ms = 1500
dead_after_ms = 2500
keeper_bound_ms = 1500"
. "$(dirname "$0")/common.sh"
start_system

set_faults "$PLATFORM" '{"outage":true}'
sleep 1
check "completions succeed during the outage" is_equal "$(post_completion "$A" x | jq -r .usage.completion_tokens)" 8
kill_process b
start_daemon b
check "a daemon becomes ready with the state of its peers" wait_until 8 is_ready "$B"
check "it serves completions" wait_until 8 bash -c "curl -s -d '{\"model\":\"drafter\",\"prompt\":\"x\"}' $B/v1/completions | grep -q usage"
victim=$(engine_index "$(group_leader "$A" 0)")
set_faults "$(engine_url "$victim")" '{"dead":true}'
sleep 3
check "no group is formed without the platform" is_equal "$(open_group_count "$A" drafts)" 1
check "the other replica serves" is_equal "$(post_completion "$A" y | jq -r .usage.completion_tokens)" 8
set_faults "$PLATFORM" '{"outage":false}'
check "the group is repaired after the outage" wait_until 10 has_open_groups "$A" drafts 2

# The store is restored from an older backup; the daemons keep the newer
# configuration.
before=$(get "$A/readyz" | jq .revision)
write_services 2
publish >"$WORK/publish-2.log" 2>&1 || fail "publish: $(cat "$WORK/publish-2.log")"
after=$(get "$A/readyz" | jq .revision)
check "the revision rises" test "$after" -gt "$before"
set_faults "$PLATFORM" '{"restore":1}'
kill_process a
start_daemon a
for _ in $(seq 1 30); do
  seen=$(get "$A/readyz" | jq -r '"\(.ready) \(.revision)"')
  [ "${seen% *}" = true ] && [ "${seen#* }" -lt "$after" ] && fail "daemon a serves revision ${seen#* } of the backup instead of $after"
  sleep 0.02
done
CHECKS=$((CHECKS + 1))
wait_until 8 is_ready "$A" || fail "daemon a is not ready after its restart"
check "daemon a keeps the newer revision" test "$(get "$A/readyz" | jq .revision)" -ge "$after"
check "daemon b keeps the newer revision" test "$(get "$B/readyz" | jq .revision)" -ge "$after"
check "the newer revision is written back to the platform" wait_until 40 bash -c "[ \"\$(curl -s $PLATFORM/objects/accepted/head | jq .data.revision)\" -ge $after ]"
print_check_count
