# Functions shared by the demo, the failure path tests and the benchmarks.
# They start fakes and daemons on the loopback interface and stop them by
# process id.
#
# The sourcing script sets BUILD (directory of the binaries) and BASE_PORT
# (first of 200 free ports).  Optional: HOST (loopback address of all
# processes), DAEMON_SETTINGS (lines for every settings file), PEERS_VIA_PIPE
# (route the traffic between daemons through the pipe fake), LOG_LINES (lines of
# each log that a failure prints, default 6).

set -euo pipefail

HOST=${HOST:-127.0.0.1}
BIN="$BUILD/burdockdale"
FAKES="$BUILD/fakes"
WORK=$(mktemp -d)
PLATFORM_PORT=$BASE_PORT
PLATFORM="http://$HOST:$PLATFORM_PORT"
declare -A PIDS=()
INSTANCES='[]'
DAEMONS=()

print () { printf '%s\n' "$*"; }

fail () {
  for log in "$WORK"/*.log; do
    [ -s "$log" ] && { print "--- $(basename "$log")"; tail -n "${LOG_LINES:-6}" "$log"; }
  done
  print "FAILED: $*"
  exit 1
}

cleanup () {
  local pid
  for pid in "${PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$WORK"
}
trap cleanup EXIT

# start_process NAME COMMAND...: runs COMMAND in the background and appends its
# output to NAME.log.
start_process () {
  local name=$1
  shift
  "$@" >>"$WORK/$name.log" 2>&1 &
  PIDS[$name]=$!
}

# wait_until SECONDS COMMAND...: repeats COMMAND until it succeeds; returns 1
# after about SECONDS.
wait_until () {
  local tries=$(($1 * 20))
  shift
  while [ "$tries" -gt 0 ]; do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.05
    tries=$((tries - 1))
  done
  return 1
}

get () { curl -sS -m 10 "$@"; }
post () { get -X POST "$@"; }

# set_faults URL JSON: changes the fault settings of a fake.
set_faults () { post -d "$2" "$1/faults" >/dev/null; }

start_platform () {
  start_process platform "$FAKES" platform "address=$HOST" "port=$PLATFORM_PORT" "$@"
  wait_until 5 get "$PLATFORM/record" || fail "the platform did not start"
}

# add_instances NAME COUNT PORT DATA_CENTRE DOMAIN POOL: adds instances to the
# list that put_instances uploads.
add_instances () {
  INSTANCES=$(jq -c --arg n "$1" --argjson c "$2" --argjson p "$3" \
    --arg d "$4" --arg f "$5" --arg o "$6" --arg h "$HOST" \
    '. + [range($c) | {name: "\($n)-\(.)", address: $h,
      port: ($p + .), data_centre: $d, fabric_domain: $f, pool: $o,
      state: "live", accelerators: 8}]' <<<"$INSTANCES")
}

put_instances () {
  get -X PUT -d "{\"instances\":$INSTANCES}" "$PLATFORM/instances" >/dev/null
}

# set_instance_state NAME STATE: changes the state of an instance in the list
# and uploads the list.
set_instance_state () {
  INSTANCES=$(jq -c --arg n "$1" --arg s "$2" \
    'map(if .name == $n then .state = $s else . end)' <<<"$INSTANCES")
  put_instances
}

# start_engines NAME COUNT PORT DATA_CENTRE DOMAIN POOL [OPTION...]: starts one
# fake process with COUNT engines on consecutive ports.
start_engines () {
  local name=$1 count=$2 port=$3
  start_process "$name" "$FAKES" engines "address=$HOST" "name=$name" "count=$count" "port=$port" \
    "weights=$PLATFORM" "${@:7}"
  wait_until 5 get "http://$HOST:$port/state" || fail "$name did not start"
  add_instances "$name" "$count" "$port" "$4" "$5" "$6"
}

# start_service NAME PORT DATA_CENTRE POOL: starts the fake of a plain service.
start_service () {
  start_process "$1" "$FAKES" service "address=$HOST" "name=$1-0" "port=$2"
  wait_until 5 get "http://$HOST:$2/state" || fail "$1 did not start"
  add_instances "$1" 1 "$2" "$3" plain "$4"
}

# add_daemon NAME DATA_CENTRE HTTP_PORT: registers a daemon for start_daemon
# and as a peer of the other daemons.
add_daemon () {
  DAEMONS+=("$1 $2 $3")
}

# write_settings NAME DATA_CENTRE HTTP_PORT: writes the settings file.  The
# peer port is the HTTP port plus 100.
write_settings () {
  local name=$1 data_centre=$2 port=$3 other
  {
    printf 'name = "%s"\ndata_centre = "%s"\naddress = "%s"\n' "$name" "$data_centre" "$HOST"
    printf 'http_port = %d\npeer_port = %d\n' "$port" $((port + 100))
    # The peers connect to the pipe, which forwards to the peer port.
    [ -n "${PEERS_VIA_PIPE:-}" ] && printf 'advertised_peer_port = %d\n' $((port + 150))
    printf 'platform_url = "%s"\ninstances_url = "%s/instances"\n' "$PLATFORM" "$PLATFORM"
    printf '%s\n' "${DAEMON_SETTINGS:-heartbeat_ms = 100
poll_ms = 100
freshness_ms = 1000
dead_after_ms = 1500
keeper_bound_ms = 1500}"
    for other in "${DAEMONS[@]}"; do
      set -- $other
      [ "$1" = "$name" ] && continue
      printf '[[peer]]\nname = "%s"\ndata_centre = "%s"\naddress = "%s"\nport = %d\n' \
        "$1" "$2" "$HOST" $(($3 + ${PEERS_VIA_PIPE:+50} + 100))
    done
  } >"$WORK/$name.toml"
}

# start_daemon NAME: starts a daemon that add_daemon has registered.
start_daemon () {
  local entry
  for entry in "${DAEMONS[@]}"; do
    set -- "$1" $entry
    [ "$1" = "$2" ] || continue
    write_settings "$2" "$3" "$4"
    start_process "$2" "$BIN" serve --settings "$WORK/$2.toml"
    wait_until 5 get "http://$HOST:$4/healthz" || fail "$2 did not start"
  done
}

start_daemons () {
  local entry
  for entry in "${DAEMONS[@]}"; do start_daemon "${entry%% *}"; done
}

is_ready () { [ "$(get -o /dev/null -w '%{http_code}' "$1/readyz")" = 200 ]; }

# open_group_count URL SERVICE: prints the number of open groups of SERVICE.
open_group_count () {
  get "$1/burdockdale/state" \
    | jq --arg s "$2" '[.groups[] | select(.service == $s and .gate == "open")] | length'
}

# has_open_groups URL SERVICE COUNT: whether at least COUNT groups are open.
has_open_groups () { [ "$(open_group_count "$1" "$2")" -ge "$3" ]; }

# metric_value URL NAME: prints the value of the metric burdockdale_NAME.
metric_value () {
  get "$1/metrics" | awk -v n="burdockdale_$2" '$1 == n { print $2 }'
}

# kill_process NAME: kills with SIGKILL and waits for the end of the process.
# pause_process NAME, resume_process NAME: send SIGSTOP, SIGCONT.
kill_process () { kill -KILL "${PIDS[$1]}"; wait "${PIDS[$1]}" 2>/dev/null || true; unset "PIDS[$1]"; }
pause_process () { kill -STOP "${PIDS[$1]}"; }
resume_process () { kill -CONT "${PIDS[$1]}"; }
