#!/usr/bin/env bash
# The address of a lost engine, and that of a plain service, is given to an
# instance of another name while the list still has the lost one.  The other
# instance is never taken for it: it gets none of its requests, and the group
# is repaired.
BASE_PORT=27000
. "$(dirname "$0")/common.sh"
start_system

leader=$(group_leader "$A" 0)
victim=$(engine_index "$leader")
set_faults "$(engine_url "$victim")" '{"name":"newcomer"}'
is_lost () { [ "$(get "$1/burdockdale/state" | jq --arg m "$leader" '[.groups[].members[] | select(. == $m)] | length')" = 0 ]; }
check "the lost engine leaves its group" wait_until 10 is_lost "$A"
check "both groups are open again at daemon a" wait_until 15 has_open_groups "$A" drafts 2
check "both groups are open again at daemon b" wait_until 15 has_open_groups "$B" drafts 2
check "the lost engine is in no group" is_lost "$B"
check "the other instance got no order" is_equal \
  "$(engine_events | jq '[.[] | select(.instance == "newcomer" and .event == "order")] | length')" 0
for i in $(seq 1 20); do
  check "completion $i" is_equal "$(post_completion "$A" "prompt $i" 4 | jq -r .usage.completion_tokens)" 4
done
check "the other instance ran nothing" is_equal \
  "$(engine_events | jq '[.[] | select(.instance == "newcomer" and .event == "started")] | length')" 0

check "a booking is served" is_equal "$(post_booking "$A" before | jq -r .key)" before
set_faults "$LEAGUE" '{"name":"newcomer"}'
sleep 1 # Several probes.
for url in "$A" "$B"; do
  check "a booking is not served by the other instance" is_equal \
    "$(post_booking "$url" "elsewhere ${url##*:}" | jq -r .run)" not-run
  check "the other instance ran no booking" is_equal "$(run_count "elsewhere ${url##*:}")" 0
done
set_faults "$LEAGUE" '{"name":"league-0"}'
is_served () { [ "$(post_booking "$1" "again-$RANDOM$RANDOM" | jq -r .service)" = league-0 ]; }
check "bookings are served when the service is back" wait_until 5 is_served "$A"
print_check_count
