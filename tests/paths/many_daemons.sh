#!/usr/bin/env bash
# Ten daemons in one data centre, of which only two are relays: a change comes
# to all of them as a patch, a daemon that has missed changes catches up.
BASE_PORT=25200
. "$(dirname "$0")/common.sh"
start_platform
put_instances
for i in $(seq 1 10); do add_daemon "d$i" north $((BASE_PORT + i)); done
start_daemons
write_services
publish >"$WORK/publish.log" 2>&1 || fail "publish $(cat "$WORK/publish.log")"
revision_of () { get "http://127.0.0.1:$((BASE_PORT + $1))/readyz" | jq .revision; }
everyone_at () { for i in "${@:2}"; do [ "$(revision_of "$i")" -ge "$1" ] || return 1; done; }
check "all of ten" wait_until 5 everyone_at 1 1 2 3 4 5 6 7 8 9 10
pause_process d7
for v in 2 3 4; do
  write_services "$v"
  "$BIN" publish "$WORK/services" --platform "$PLATFORM" >/dev/null
  sleep 0.3
done
now=$(revision_of 3)
check "three changes later nine have the same" wait_until 5 everyone_at "$now" 1 2 3 4 5 6 8 9 10
resume_process d7
check "the one that slept catches up" wait_until 5 everyone_at "$now" 7
write_services 5
publish >"$WORK/publish-5.log" 2>&1 || fail "publish $(cat "$WORK/publish-5.log")"
check "and gets the next one" wait_until 5 everyone_at $((now + 1)) 1 2 3 4 5 6 7 8 9 10
version () { get "http://127.0.0.1:$((BASE_PORT + $1))/v1/models" | jq -r '.data[0].id'; }
for i in 1 4 7 10; do check "d$i serves the published model" is_equal "$(version "$i")" drafter; done
print_check_count
