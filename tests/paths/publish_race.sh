#!/usr/bin/env bash
# Two operators publish the same service at once: one wins, the other is told
# who; a bad file is rejected with its reason and leaves the accepted one.
BASE_PORT=23000
. "$(dirname "$0")/common.sh"
start_system

cp -r "$WORK/services" "$WORK/other"
sed -i 's/deadline_ms = 8000/deadline_ms = 7000/' "$WORK/services/drafts.toml"
sed -i 's/deadline_ms = 8000/deadline_ms = 9000/' "$WORK/other/drafts.toml"
"$BIN" publish "$WORK/services/drafts.toml" --platform "$PLATFORM" --by amina --hold-ms 600 >"$WORK/amina" 2>&1 &
p1=$!
"$BIN" publish "$WORK/other/drafts.toml" --platform "$PLATFORM" --by rui --hold-ms 200 >"$WORK/rui" 2>&1 &
p2=$!
wait "$p1" && c1=0 || c1=$?
wait "$p2" && c2=0 || c2=$?
check "the first wins" is_equal "$c2" 0
check "the second loses" is_equal "$c1" 1
check "and is told who won" grep -q "lost the race: rui" "$WORK/amina"

cp "$WORK/services/bookings.toml" "$WORK/bad.toml"
sed -i 's/service = "bookings"/service = "bookings-2"/' "$WORK/bad.toml"
"$BIN" publish "$WORK/bad.toml" --platform "$PLATFORM" --wait >"$WORK/bad" 2>&1 && fail "a conflict was accepted"
check "the reason is given" grep -q "prefix '/league/' is already taken by service 'bookings'" "$WORK/bad"
check "the accepted one stays" is_equal "$(post_booking "$A" k1 | jq -r .key)" k1
"$BIN" status --platform "$PLATFORM" >"$WORK/status"
check "status says so" grep -q "bookings-2.*rejected" "$WORK/status"
"$BIN" audit --platform "$PLATFORM" >"$WORK/audit"
check "the winner is on record" grep -q "drafts generation 2 by rui" "$WORK/audit"
check "usage" is_equal "$("$BIN" publish >/dev/null 2>&1; echo $?)" 2
# A quiet system asks little of the platform: two watches a relay, and one read
# a third of the keeper's bound.
before=$(get "$PLATFORM/record" | jq .reads)
sleep 2
check "a quiet system makes few calls" test $(($(get "$PLATFORM/record" | jq .reads) - before)) -le 15
print_check_count
