#!/usr/bin/env bash
# A daemon that has not installed its handlers yet, or is about to exit, doesn't
# end by a SIGHUP, and serve doesn't at any time; a SIGTERM at the start is a
# graceful stop.
BASE_PORT=24800
. "$(dirname "$0")/common.sh"
start_platform

edge_settings () {
  cat <<TOML
name = "edge-1"
data_centre = "north"
dialect = "platform"
callers = "$HOST:$((BASE_PORT + 1))"
balancer = "$HOST:$((BASE_PORT + 2))"
peer_port = $((BASE_PORT + 3))
metrics_port = $((BASE_PORT + 4))
handover_port = $((BASE_PORT + 5))
platform_url = "$PLATFORM"
heartbeat_ms = 300
max_descriptors = 1024
memory_mb = 64
reads_per_s = 200
writes_per_s = 100
[bounds]
config_apply_ms = 2000
drain_ms = 2000
contact_ms = 3000
grace_s = 2
revoke_ms = 2000
revoke_fail_closed = true
retry_ratio = 0.2
retry_slack = 100
stall_ms = 4000
TOML
}

# start_with_signal NAME COMMAND SIGNAL: starts a daemon whose settings are
# held back until it has got the signal.
start_with_signal () {
  rm -f "$WORK/held.toml"
  mkfifo "$WORK/held.toml"
  start_process "$1" "$BIN" "$2" --settings "$WORK/held.toml"
  # Returns once the daemon reads.
  exec 8>"$WORK/held.toml"
  # What a reload reads.
  cp "$WORK/settings.toml" "$WORK/next.toml"
  mv "$WORK/next.toml" "$WORK/held.toml"
  kill "-$3" "${PIDS[$1]}"
  sleep 0.1
  cat "$WORK/settings.toml" >&8
  exec 8>&-
}

is_listening () { get -m 1 -o /dev/null "$1/readyz"; }

edge_settings >"$WORK/settings.toml"
cp "$WORK/settings.toml" "$WORK/edge.toml"
start_with_signal edge edge HUP
check "edge starts in spite of a SIGHUP" wait_until 5 is_listening "http://$HOST:$((BASE_PORT + 2))"
check "and reloads its settings" wait_until 5 grep -q '"event":"reload' "$WORK/edge.log"
kill_process edge
start_with_signal edge_stopped edge TERM
check "a SIGTERM at the start stops it" wait_until 10 grep -q '"event":"stopped"' "$WORK/edge_stopped.log"

add_daemon a north $((BASE_PORT + 11))
write_settings a north $((BASE_PORT + 11))
cp "$WORK/a.toml" "$WORK/settings.toml"
start_with_signal serve serve HUP
check "serve starts in spite of a SIGHUP" wait_until 5 is_listening "http://$HOST:$((BASE_PORT + 11))"
kill -HUP "${PIDS[serve]}"
sleep 0.2
check "serve goes on after a SIGHUP" is_listening "http://$HOST:$((BASE_PORT + 11))"
check "and says that it doesn't reload" grep -q '"event":"reload-refused"' "$WORK/serve.log"

# stop_amid_signals NAME: stops a daemon amid a series of SIGHUPs, and sets CODE to
# its exit code.
stop_amid_signals () {
  local pid=${PIDS[$1]} sender
  kill -TERM "$pid"
  while kill -HUP "$pid" 2>/dev/null; do :; done &
  sender=$!
  wait "$pid" && CODE=0 || CODE=$?
  wait "$sender" || true
  unset "PIDS[$1]"
}

start_process edge_hup "$BIN" edge --settings "$WORK/edge.toml"
wait_until 5 grep -q '"event":"started"' "$WORK/edge_hup.log" || fail "edge_hup did not start"
stop_amid_signals edge_hup
check "edge stops in spite of SIGHUPs" is_equal "$CODE" 0
stop_amid_signals serve
check "serve stops in spite of SIGHUPs" is_equal "$CODE" 0
print_check_count
