# Shared by the demo, the failure paths and the benchmarks: starts stand-ins
# and daemons on loopback, and ends them by their process ids.
#
# Needs: BUILD (folder of the binaries), BASE_PORT (first of 200 free ports).

set -euo pipefail

BIN="$BUILD/burdockdale"
FAKES="$BUILD/fakes"
WORK=$(mktemp -d)
PLATFORM_PORT=$BASE_PORT
PLATFORM="http://127.0.0.1:$PLATFORM_PORT"
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

# start NAME COMMAND...: runs in the background, output to NAME.log.
start_process () {
  local name=$1
  shift
  "$@" >>"$WORK/$name.log" 2>&1 &
  PIDS[$name]=$!
}

# wait_until SECONDS COMMAND...: waits until the command succeeds.
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

set_faults () { post -d "$2" "$1/faults" >/dev/null; }

start_platform () {
  start_process platform "$FAKES" platform "port=$PLATFORM_PORT" "$@"
  wait_until 5 get "$PLATFORM/record" || fail "the platform does not start"
}

# add_instances NAME COUNT PORT DATA_CENTRE DOMAIN POOL
add_instances () {
  INSTANCES=$(jq -c --arg n "$1" --argjson c "$2" --argjson p "$3" \
    --arg d "$4" --arg f "$5" --arg o "$6" \
    '. + [range($c) | {name: "\($n)-\(.)", address: "127.0.0.1",
      port: ($p + .), data_centre: $d, fabric_domain: $f, pool: $o,
      state: "live", accelerators: 8}]' <<<"$INSTANCES")
}

put_instances () {
  get -X PUT -d "{\"instances\":$INSTANCES}" "$PLATFORM/instances" >/dev/null
}

# set_instance_state NAME STATE: of one instance in the list.
set_instance_state () {
  INSTANCES=$(jq -c --arg n "$1" --arg s "$2" \
    'map(if .name == $n then .state = $s else . end)' <<<"$INSTANCES")
  put_instances
}

# start_engines NAME COUNT PORT DATA_CENTRE DOMAIN POOL [OPTION...]
start_engines () {
  local name=$1 count=$2 port=$3
  start_process "$name" "$FAKES" engines "name=$name" "count=$count" "port=$port" \
    "weights=$PLATFORM" "${@:7}"
  wait_until 5 get "http://127.0.0.1:$port/state" || fail "$name does not start"
  add_instances "$name" "$count" "$port" "$4" "$5" "$6"
}

# start_service NAME PORT DATA_CENTRE POOL
start_service () {
  start_process "$1" "$FAKES" service "name=$1-0" "port=$2"
  wait_until 5 get "http://127.0.0.1:$2/state" || fail "$1 does not start"
  add_instances "$1" 1 "$2" "$3" plain "$4"
}

# add_daemon NAME DATA_CENTRE HTTP_PORT: a daemon to be started later.
add_daemon () {
  DAEMONS+=("$1 $2 $3")
}

write_settings () {
  local name=$1 centre=$2 port=$3 other
  {
    printf 'name = "%s"\ndata_centre = "%s"\naddress = "127.0.0.1"\n' "$name" "$centre"
    printf 'http_port = %d\npeer_port = %d\n' "$port" $((port + 100))
    # Behind a pipe, the others reach this daemon by the pipe's port.
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
      printf '[[peer]]\nname = "%s"\ndata_centre = "%s"\naddress = "127.0.0.1"\nport = %d\n' \
        "$1" "$2" $(($3 + ${PEERS_VIA_PIPE:+50} + 100))
    done
  } >"$WORK/$name.toml"
}

# start_daemon NAME: one that was planned.
start_daemon () {
  local entry
  for entry in "${DAEMONS[@]}"; do
    set -- "$1" $entry
    [ "$1" = "$2" ] || continue
    write_settings "$2" "$3" "$4"
    start_process "$2" "$BIN" serve --settings "$WORK/$2.toml"
    wait_until 5 get "http://127.0.0.1:$4/healthz" || fail "$2 does not start"
  done
}

start_daemons () {
  local entry
  for entry in "${DAEMONS[@]}"; do start_daemon "${entry%% *}"; done
}

is_ready () { [ "$(get -o /dev/null -w '%{http_code}' "$1/readyz")" = 200 ]; }

# open_group_count URL SERVICE: how many of its groups are open.
open_group_count () {
  get "$1/burdockdale/state" \
    | jq --arg s "$2" '[.groups[] | select(.service == $s and .gate == "open")] | length'
}

has_open_groups () { [ "$(open_group_count "$1" "$2")" -ge "$3" ]; }

metric_value () {
  get "$1/metrics" | awk -v n="burdockdale_$2" '$1 == n { print $2 }'
}

# kill_process NAME, freeze NAME, thaw NAME
kill_process () { kill -KILL "${PIDS[$1]}"; wait "${PIDS[$1]}" 2>/dev/null || true; unset "PIDS[$1]"; }
pause_process () { kill -STOP "${PIDS[$1]}"; }
resume_process () { kill -CONT "${PIDS[$1]}"; }
