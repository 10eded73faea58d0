#!/usr/bin/env bash
# 500 callers with half a head, 500 with half a body and 500 idle ones at once:
# each is ended within its timeout, the others are served, and the daemon's
# memory does not grow from one wave to the next.
BASE_PORT=24800
HEADER_TIMEOUT_MS=1000
IDLE_TIMEOUT_MS=2000
PER_KIND=500
DAEMON_SETTINGS="heartbeat_ms = 100
poll_ms = 100
freshness_ms = 1000
dead_after_ms = 1500
keeper_bound_ms = 1500
header_timeout_ms = $HEADER_TIMEOUT_MS
idle_timeout_ms = $IDLE_TIMEOUT_MS"
. "$(dirname "$0")/common.sh"
ulimit -n 4096
start_system

# open_callers: opens all connections; their descriptors are in FDS.
open_callers () {
  local i fd text
  FDS=()
  for ((i = 0; i < 3 * PER_KIND; i++)); do
    exec {fd}<>"/dev/tcp/$HOST/$((BASE_PORT + 1))"
    FDS+=("$fd")
    case $((i % 3)) in
      0) text='POST /league/bookings HTTP/1.1\r\nHost: x\r\nX-Pa';;
      1) text='POST /league/bookings HTTP/1.1\r\nHost: x\r\nIdempotency-Key: half\r\nContent-Length: 999\r\n\r\n{';;
      2) text='GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n';;
    esac
    printf "$text" >&"$fd"
  done
}

# count_open: prints how many of the daemon's connections from callers remain.
count_open () { ls -l "/proc/${PIDS[a]}/fd" | grep -c socket || true; }
are_closed () { [ "$(count_open)" -le "$1" ]; }
memory_kb () { awk '/^VmRSS/ { print $2 }' "/proc/${PIDS[a]}/status"; }

# check_responses: reads the connections, which are all closed by the daemon.
check_responses () {
  local i fd response expected
  for ((i = 0; i < 3 * PER_KIND; i++)); do
    expected='HTTP/1.1 408'
    [ $((i % 3)) = 2 ] && expected='HTTP/1.1 200'
    IFS= read -r -u "${FDS[i]}" response || fail "caller $i got nothing"
    [[ $response = "$expected"* ]] || fail "caller $i got $response"
    fd=${FDS[i]}
    exec {fd}<&-
  done
}

memory=()
before=$(count_open)
for wave in 1 2 3 4 5 6 7 8; do
  open_callers
  for n in $(seq 1 20); do
    is_equal "$(post_booking "$A" "$wave-$n" | jq -r .key)" "$wave-$n" || fail "a call beside the callers"
  done
  check "wave $wave: all are closed" wait_until 4 are_closed $((before + 20))
  check_responses
  check "wave $wave: no half request runs" is_equal "$(run_count half)" 0
  memory[wave]=$(memory_kb)
done
print "memory after each wave: ${memory[*]} KB"
# The heap takes some waves to find its size.  Half a KB that stays of each
# caller would be more.
check "memory stays" test "${memory[8]}" -le $((memory[6] + 3 * PER_KIND))
print_check_count
