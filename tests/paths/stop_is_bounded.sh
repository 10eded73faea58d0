#!/usr/bin/env bash
# An endpoint that hangs holds a planned stop until the deadline of its calls,
# beyond the grace period: the daemon is killed, and its callers get nothing.
BASE_PORT=26200
. "$(dirname "$0")/common.sh"
GRACE_MS=3000
DAEMON_SETTINGS="heartbeat_ms = 100
poll_ms = 100
freshness_ms = 1000
dead_after_ms = 1500
keeper_bound_ms = 1500
${GRACE_SETTING-grace_ms = $GRACE_MS}"
start_system
write_services
sed -i 's/^deadline_ms = .*/deadline_ms = 60000/' "$WORK"/services/*.toml
printf 'max_in_flight = 1\n' >>"$WORK/services/bookings.toml"
publish >"$WORK/publish-2.log" 2>&1 || fail "publish: $(cat "$WORK/publish-2.log")"

set_faults "$LEAGUE" '{"slow_ms":60000}'
call () { curl -sS -m 30 -X POST "$@"; }
call -D "$WORK/hung-head" -H 'Idempotency-Key: hung' -d '{}' "$A/league/bookings" >"$WORK/hung" &
hung=$!
wait_until 5 is_equal "$(get "$LEAGUE/state" | jq -r .running)" 1 || true
sleep 0.3
call -D "$WORK/queued-head" -H 'Idempotency-Key: queued' -d '{}' "$A/league/bookings" >"$WORK/queued" &
queued=$!
call -N -d '{"model":"drafter","max_tokens":100000,"stream":true,"prompt":"x"}' "$A/v1/completions" >"$WORK/stream" &
stream=$!
sleep 0.3
kill -TERM "${PIDS[a]}"
is_gone () { ! kill -0 "${PIDS[a]}" 2>/dev/null; }
check "the daemon ends within its grace period" wait_until $((GRACE_MS / 1000 + 1)) is_gone
wait "${PIDS[a]}" && code=0 || code=$?
unset "PIDS[a]"
check "exit code 0" is_equal "$code" 0
wait "$hung" "$queued" "$stream" || true
status () { head -n 1 "$1" | cut -d' ' -f2; }
check "the call that hangs gets 504" is_equal "$(status "$WORK/hung-head")" 504
check "it may have run" is_equal "$(jq -r .run "$WORK/hung")" unknown
check "the call that waits gets 503" is_equal "$(status "$WORK/queued-head")" 503
check "it has not run" is_equal "$(jq -r .run "$WORK/queued") $(run_count queued)" "not-run 0"
check "the stream has events" grep -q '"text":' "$WORK/stream"
check "the stream ends with an error" grep -q '^event: error' "$WORK/stream"
print_check_count
