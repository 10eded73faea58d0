#!/usr/bin/env bash
# Ten daemons in one data centre, of which only two are relays.  A
# configuration change reaches all of them as a patch, and a daemon that has
# missed changes catches up.
BASE_PORT=25200
. "$(dirname "$0")/common.sh"
start_platform
put_instances
for i in $(seq 1 10); do add_daemon "d$i" north $((BASE_PORT + i)); done
start_daemons
write_services
publish >"$WORK/publish.log" 2>&1 || fail "publish: $(cat "$WORK/publish.log")"
revision_of () { get "http://$HOST:$((BASE_PORT + $1))/readyz" | jq .revision; }
all_have_revision () { for i in "${@:2}"; do [ "$(revision_of "$i")" -ge "$1" ] || return 1; done; }
check "all ten daemons have the first revision" wait_until 5 all_have_revision 1 1 2 3 4 5 6 7 8 9 10
pause_process d7
for v in 2 3 4; do
  write_services "$v"
  "$BIN" publish "$WORK/services" --platform "$PLATFORM" >/dev/null
  sleep 0.3
done
latest=$(revision_of 3)
check "nine daemons have the revision after three changes" wait_until 5 all_have_revision "$latest" 1 2 3 4 5 6 8 9 10
resume_process d7
check "the daemon that was paused catches up" wait_until 5 all_have_revision "$latest" 7
write_services 5
publish >"$WORK/publish-5.log" 2>&1 || fail "publish: $(cat "$WORK/publish-5.log")"
check "all ten daemons get the next revision" wait_until 5 all_have_revision $((latest + 1)) 1 2 3 4 5 6 7 8 9 10
model_name () { get "http://$HOST:$((BASE_PORT + $1))/v1/models" | jq -r '.data[0].id'; }
for i in 1 4 7 10; do check "d$i serves the published model" is_equal "$(model_name "$i")" drafter; done
print_check_count
