#!/usr/bin/env bash
# Idle callers and peers beyond a daemon's limit of descriptors: the callers leave
# what the request of another one needs, and the daemon doesn't spin.
BASE_PORT=28600
. "$(dirname "$0")/common.sh"
DESCRIPTORS=128
start_system
add_daemon c north $((BASE_PORT + 3))
write_settings c north $((BASE_PORT + 3))
start_process c bash -c "ulimit -n $DESCRIPTORS; exec '$BIN' serve --settings '$WORK/c.toml'"
wait_until 10 is_ready "$C" || fail "daemon c is not ready"
wait_until 10 post_booking "$C" first || fail "daemon c does not serve"

# Processor time of daemon c in hundredths of a second.
processor_time () { awk '{ print $14 + $15 }' "/proc/${PIDS[c]}/stat"; }
# book KEY: sends a booking on connection 7 and prints its status.
book () {
  printf 'POST /league/bookings HTTP/1.1\r\nHost: c\r\nIdempotency-Key: %s\r\nContent-Length: 2\r\n\r\n{}' "$1" >&7
  timeout 5 head -n 1 <&7 | cut -d ' ' -f 2
}

exec 7<>"/dev/tcp/$HOST/$((BASE_PORT + 3))"
for _ in $(seq 200); do exec {idle}<>"/dev/tcp/$HOST/$((BASE_PORT + 3))"; done
sleep 0.5
check "a request is served" is_equal "$(book second)" 200
for _ in $(seq 100); do exec {idle}<>"/dev/tcp/$HOST/$((BASE_PORT + 103))"; done
before=$(processor_time)
sleep 2
check "the daemon does not spin" test $(($(processor_time) - before)) -lt 100
check "the daemon goes on" kill -0 "${PIDS[c]}"
print_check_count
