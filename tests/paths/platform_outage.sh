#!/usr/bin/env bash
# The platform is away: serving goes on, a daemon that starts meanwhile learns
# from its peers, and no published configuration is lost or reverts.
BASE_PORT=22600
# Slow heartbeats: a daemon that starts hears the platform before its peers.
DAEMON_SETTINGS="heartbeat_ms = 700
poll_ms = 100
freshness_ms = 1500
dead_after_ms = 2500
keeper_bound_ms = 1500"
. "$(dirname "$0")/common.sh"
start_system

set_faults "$PLATFORM" '{"outage":true}'
sleep 1
check "completions go on" is_equal "$(post_completion "$A" x | jq -r .usage.completion_tokens)" 8
kill_process b
start_daemon b
check "a daemon starts from its peers" wait_until 8 is_ready "$B"
check "and serves" wait_until 8 bash -c "curl -s -d '{\"model\":\"drafter\",\"prompt\":\"x\"}' $B/v1/completions | grep -q usage"
victim=$(engine_index "$(group_leader "$A" 0)")
set_faults "$(engine_url "$victim")" '{"dead":true}'
sleep 3
check "nothing is formed without the platform" is_equal "$(open_group_count "$A" drafts)" 1
check "the other replica serves" is_equal "$(post_completion "$A" y | jq -r .usage.completion_tokens)" 8
set_faults "$PLATFORM" '{"outage":false}'
check "the group is mended afterwards" wait_until 10 has_open_groups "$A" drafts 2

# The store is restored from an older copy: what is in force stays.
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
  [ "${seen% *}" = true ] && [ "${seen#* }" -lt "$after" ] && fail "a serves revision ${seen#* } of the copy, $after is in force"
  sleep 0.02
done
CHECKS=$((CHECKS + 1))
wait_until 8 is_ready "$A" || fail "a does not come back"
check "no daemon goes back" test "$(get "$A/readyz" | jq .revision)" -ge "$after"
check "b neither" test "$(get "$B/readyz" | jq .revision)" -ge "$after"
check "the platform gets it back" wait_until 40 bash -c "[ \"\$(curl -s $PLATFORM/objects/accepted/head | jq .data.revision)\" -ge $after ]"
print_check_count
