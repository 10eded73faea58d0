#!/usr/bin/env bash
# A data centre without a whole replica: its callers are served by the other
# one, also through a daemon that is no relay; cut off, each goes on alone.
BASE_PORT=23800
. "$(dirname "$0")/common.sh"
start_platform
start_engines engine 10 "$ENGINE_PORT" north fabric-1 drafting
start_service league $((BASE_PORT + 60)) north league
put_instances
for name in a b d; do plan_daemon "$name" south $((BASE_PORT + 1 + ${#DAEMONS[@]})); done
plan_daemon n north $((BASE_PORT + 9))
start_daemons
write_services
publish >"$WORK/publish.log" 2>&1 || fail "publish"
N=http://127.0.0.1:$((BASE_PORT + 9))
until_true 15 has_open_groups "$N" drafts 2 || fail "no groups in north"
check "south has no group" equals "$(open_groups "$A" drafts)" 0
for d in 1 2 3; do
  url=http://127.0.0.1:$((BASE_PORT + d))
  served () { [ "$(complete "$url" "from south $d" 6 | jq -r .usage.completion_tokens)" = 6 ]; }
  check "daemon $d in south is served by north" until_true 12 served
  stream "$url" "stream $d" 30 >"$WORK/stream-$d"
  check "with whole streams" equals "$(grep -c '"text":' "$WORK/stream-$d")" 30
done
relays=$(get "$A/burdockdale/state" | jq '[.members[] | select(.data_centre == "south" and .relay)] | length')
check "one of the three is no relay" equals "$relays" 2
check "a booking is served as well" equals "$(book "$A" far | jq -r .key)" far
check "once" equals "$(runs far)" 1
kill_hard n
sleep 2
code=$(post -o "$WORK/none" -w '%{http_code}' -d '{"model":"drafter","prompt":"x"}' "$A/v1/completions")
check "without north south answers at once" equals "$code" 503
check "not run" equals "$(jq -r .run "$WORK/none")" not-run
done_checks
