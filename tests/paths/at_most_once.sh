#!/usr/bin/env bash
# Bookings run at most once: resends through other daemons, at once and late,
# a daemon killed in the middle, an endpoint that cuts its answer off, the
# platform's answers lost, the platform away.
BASE_PORT=22400
. "$(dirname "$0")/common.sh"
start_system

first=$(book "$A" one)
check "a booking runs" equals "$(jq -r .key <<<"$first")" one
until_true 3 bash -c "[ \"\$(curl -sS -X POST -H 'Idempotency-Key: one' -d '{}' $B/league/bookings)\" = '$first' ]" \
  || fail "a resend elsewhere gets the recorded answer"
check "and runs once" equals "$(runs one)" 1
check "the key with another body is refused" equals \
  "$(book "$B" one '{"other":1}' | jq -r .kind)" key-reused

faults "$LEAGUE" '{"slow_ms":400}'
book "$A" two >"$WORK/two-a" &
p1=$!
book "$B" two >"$WORK/two-b" &
p2=$!
wait "$p1" "$p2"
check "of two sent at once one runs" equals "$(runs two)" 1
check "the other is told so" bash -c "cat '$WORK/two-a' '$WORK/two-b' | grep -q key-in-progress"

book "$A" three >/dev/null 2>&1 &
p1=$!
sleep 0.2
kill_hard a
wait "$p1" || true
sleep 0.5
faults "$LEAGUE" '{"slow_ms":0}'
kind=$(book "$B" three | jq -r .kind)
check "after a killed daemon a resend does not run again" equals "$(runs three)" 1
check "and the outcome is in progress or unknown" bash -c "[[ '$kind' = key-in-progress || '$kind' = key-unknown ]]"
start_daemon a
until_true 10 is_ready "$A" || fail "a does not come back"
until_true 5 bash -c "curl -s $A/league/x -X POST -o /dev/null -w '%{http_code}' | grep -q 200" || fail "a does not serve"

faults "$LEAGUE" '{"cut_after_run":1}'
run=$(book "$A" four | jq -r .run)
check "a cut answer is unknown" equals "$run" unknown
check "a resend after it does not run" equals "$(book "$B" four >/dev/null; runs four)" 1

faults "$PLATFORM" '{"lose_answers":2}'
book "$A" five >"$WORK/five"
check "lost platform answers do no harm" equals "$(jq -r .key "$WORK/five")" five
check "it ran once" equals "$(runs five)" 1

faults "$PLATFORM" '{"outage":true}'
sleep 2
check "without the platform a keyed call is not run" equals "$(book "$B" six | jq -r .run)" not-run
check "truly" equals "$(runs six)" 0
check "an unkeyed one makes its one attempt" equals \
  "$(post -o /dev/null -w '%{http_code}' -d '{}' "$B/league/bookings")" 200
check "it is told when to come back" bash -c "curl -s -D - -o /dev/null -X POST -H 'Idempotency-Key: six' -d '{}' $B/league/bookings | grep -qi '^retry-after'"
faults "$PLATFORM" '{"outage":false}'
check "afterwards it runs" until_true 8 bash -c "curl -s -X POST -H 'Idempotency-Key: six' -d '{}' $B/league/bookings | grep -q '\"key\":\"six\"'"
check "once" equals "$(runs six)" 1
done_checks
