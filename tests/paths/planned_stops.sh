#!/usr/bin/env bash
# Planned stops cut nothing off: a daemon that stops during streams and
# bookings, and the rollout of a version under load.
BASE_PORT=24400
. "$(dirname "$0")/common.sh"
start_system

set_faults "$LEAGUE" '{"slow_ms":700}'
for i in 1 2 3; do post_stream "$A" "stop $i" 250 >"$WORK/stop-$i" & done
post_booking "$A" slow >"$WORK/slow" &
sleep 0.3
kill -TERM "${PIDS[a]}"
sleep 0.15
check "not ready at once" is_equal "$(get -o /dev/null -w '%{http_code}' "$A/readyz")" 503
check "no new work" is_equal "$(get -o /dev/null -w '%{http_code}' -d '{"model":"drafter","prompt":"x"}' "$A/v1/completions")" 503
wait "${PIDS[a]}" && code=0 || code=$?
unset "PIDS[a]"
check "exit code" is_equal "$code" 0
for i in 1 2 3; do
  check "stream $i is whole" is_equal "$(grep -c '"text":' "$WORK/stop-$i")" 250
  check "stream $i has its end mark" grep -q DONE "$WORK/stop-$i"
done
check "the booking is answered" is_equal "$(jq -r .key "$WORK/slow")" slow
set_faults "$LEAGUE" '{"slow_ms":0}'
check "and recorded: a resend elsewhere gets it" wait_until 5 bash -c "curl -s -X POST -H 'Idempotency-Key: slow' -d '{}' $B/league/bookings | grep -q '\"key\":\"slow\"'"
check "once" is_equal "$(run_count slow)" 1
start_daemon a
wait_until 10 is_ready "$A" || fail "a is not ready"
wait_until 10 has_open_groups "$A" drafts 2 || fail "a does not come back"

write_services 2
for i in 1 2 3 4; do post_stream "$A" "roll $i" 400 >"$WORK/roll-$i" & done
sleep 0.2
publish >"$WORK/publish-2.log" 2>&1 || fail "publish"
at_version () { [ "$(get "$A/burdockdale/state" | jq '[.groups[] | select(.version == "2" and .gate == "open")] | length')" = 2 ]; }
lowest=2
for _ in $(seq 1 200); do
  now=$(open_group_count "$A" drafts)
  [ "$now" -lt "$lowest" ] && lowest=$now
  at_version && break
  sleep 0.05
done
check "both groups are at the new version" at_version
check "one group was open all the time" test "$lowest" -ge 1
for job in $(jobs -p); do [[ " ${PIDS[*]} " == *" $job "* ]] || wait "$job"; done
for i in 1 2 3 4; do
  check "stream $i over the rollout is whole" is_equal "$(grep -c '"text":' "$WORK/roll-$i")" 400
  check "stream $i was not resumed" grep -q DONE "$WORK/roll-$i"
done
check "nothing was cut at the engines" is_equal "$(engine_events | jq '[.[] | select(.event == "cancelled")] | length')" 0
print_check_count
