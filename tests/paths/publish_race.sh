#!/usr/bin/env bash
# Two operators publish the same service concurrently: one succeeds, and the
# other gets an error that names the first.  An invalid file is rejected with a
# reason and leaves the accepted one in use.
BASE_PORT=23000
. "$(dirname "$0")/common.sh"
start_system

cp -r "$WORK/services" "$WORK/other"
sed -i 's/deadline_ms = 8000/deadline_ms = 7000/' "$WORK/services/drafts.toml"
sed -i 's/deadline_ms = 8000/deadline_ms = 9000/' "$WORK/other/drafts.toml"
"$BIN" publish "$WORK/services/drafts.toml" --platform "$PLATFORM" --by amina --hold-ms 600 >"$WORK/amina" 2>&1 &
pid_amina=$!
"$BIN" publish "$WORK/other/drafts.toml" --platform "$PLATFORM" --by rui --hold-ms 200 >"$WORK/rui" 2>&1 &
pid_rui=$!
wait "$pid_amina" && code_amina=0 || code_amina=$?
wait "$pid_rui" && code_rui=0 || code_rui=$?
check "the first to commit succeeds" is_equal "$code_rui" 0
check "the second fails" is_equal "$code_amina" 1
check "its error names the operator who published first" grep -q "lost the race: rui" "$WORK/amina"

cp "$WORK/services/bookings.toml" "$WORK/bad.toml"
sed -i 's/service = "bookings"/service = "bookings-2"/' "$WORK/bad.toml"
"$BIN" publish "$WORK/bad.toml" --platform "$PLATFORM" --wait >"$WORK/bad" 2>&1 && fail "a conflicting prefix was accepted"
check "the error states the reason" grep -q "prefix '/league/' is already taken by service 'bookings'" "$WORK/bad"
check "the accepted file stays in use" is_equal "$(post_booking "$A" k1 | jq -r .key)" k1
"$BIN" status --platform "$PLATFORM" >"$WORK/status"
check "status lists the rejected service" grep -q "bookings-2.*rejected" "$WORK/status"
"$BIN" audit --platform "$PLATFORM" >"$WORK/audit"
check "audit lists the accepted change" grep -q "drafts generation 2 by rui" "$WORK/audit"
check "a usage error exits with 2" is_equal "$("$BIN" publish >/dev/null 2>&1; echo $?)" 2
# An idle system sends few requests to the platform: two watches per relay, and
# one read per third of keeper_bound_ms.
before=$(get "$PLATFORM/record" | jq .reads)
sleep 2
check "an idle system reads little from the platform" test $(($(get "$PLATFORM/record" | jq .reads) - before)) -le 15
print_check_count
