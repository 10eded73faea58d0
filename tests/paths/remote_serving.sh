#!/usr/bin/env bash
# A data centre without a complete replica serves its callers through the other
# data centre, also from a daemon that is not a relay.  Without the other data
# centre, callers get an error at once.
BASE_PORT=23800
. "$(dirname "$0")/common.sh"
start_platform
start_engines engine 10 "$ENGINE_PORT" north fabric-1 drafting
start_service league $((BASE_PORT + 60)) north league
put_instances
for name in a b d; do add_daemon "$name" south $((BASE_PORT + 1 + ${#DAEMONS[@]})); done
add_daemon n north $((BASE_PORT + 9))
start_daemons
write_services
publish >"$WORK/publish.log" 2>&1 || fail "publish"
N=http://$HOST:$((BASE_PORT + 9))
wait_until 15 has_open_groups "$N" drafts 2 || fail "no open groups in north"
check "south has no group" is_equal "$(open_group_count "$A" drafts)" 0
for d in 1 2 3; do
  url=http://$HOST:$((BASE_PORT + d))
  is_served () { [ "$(post_completion "$url" "from south $d" 6 | jq -r .usage.completion_tokens)" = 6 ]; }
  check "daemon $d in south is served by north" wait_until 12 is_served
  post_stream "$url" "stream $d" 30 >"$WORK/stream-$d"
  check "streams through daemon $d are complete" is_equal "$(grep -c '"text":' "$WORK/stream-$d")" 30
done
relays=$(get "$A/burdockdale/state" | jq '[.members[] | select(.data_centre == "south" and .relay)] | length')
check "one of the three daemons is not a relay" is_equal "$relays" 2
check "a booking is served by north" is_equal "$(post_booking "$A" far | jq -r .key)" far
check "the booking runs once" is_equal "$(run_count far)" 1
# The daemon that forwarded a booking is killed before the response.
set_faults "$LEAGUE" '{"slow_ms":600}'
post_booking "$B" orphan >/dev/null 2>&1 &
caller=$!
sleep 0.25
kill_process b
wait "$caller" || true
sleep 0.8
check "the daemon that received it stays up" is_equal "$(get -o /dev/null -w '%{http_code}' "$N/healthz")" 200
check "the forwarded booking runs once" is_equal "$(run_count orphan)" 1
set_faults "$LEAGUE" '{"slow_ms":0}'
# A response that is too long to record: a retry gets only the fact that the
# call ran.
set_faults "$LEAGUE" '{"long_answer":20000}'
long=$(post_booking "$A" long | wc -c)
check "a long response is complete" test "$long" -ge 20000
set_faults "$LEAGUE" '{"long_answer":0}'
is_outcome_not_kept () { [ "$(post_booking "$A" long | jq -r '.kind + "," + .run')" = outcome-not-kept,ran ]; }
check "its retry gets outcome-not-kept" wait_until 5 is_outcome_not_kept
check "the long booking runs once" is_equal "$(run_count long)" 1
kill_process n
sleep 2
code=$(post -o "$WORK/none" -w '%{http_code}' -d '{"model":"drafter","prompt":"x"}' "$A/v1/completions")
check "without north, south responds with 503" is_equal "$code" 503
check "the request did not run" is_equal "$(jq -r .run "$WORK/none")" not-run
print_check_count
