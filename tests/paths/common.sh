# Shared by the failure paths: two daemons in one data centre and one in
# another, before two groups of four engines, a spare, and a plain service.
BUILD=${BUILD:-build}
cd "$(dirname "$0")/../.."
. scripts/lib.sh

A=http://127.0.0.1:$((BASE_PORT + 1))
B=http://127.0.0.1:$((BASE_PORT + 2))
C=http://127.0.0.1:$((BASE_PORT + 3))
LEAGUE=http://127.0.0.1:$((BASE_PORT + 60))
ENGINE_PORT=$((BASE_PORT + 20))

engine_url () { echo "http://127.0.0.1:$((ENGINE_PORT + $1))"; }

write_services () {
  mkdir -p "$WORK/services"
  cat >"$WORK/services/drafts.toml" <<TOML
service = "drafts"
pool = "drafting"
[model]
name = "drafter"
version = "${1:-1}"
members = 4
replicas_per_data_centre = ${2:-2}
[route]
deadline_ms = 8000
max_in_flight = 16
TOML
  cat >"$WORK/services/bookings.toml" <<TOML
service = "bookings"
pool = "league"
[route]
prefix = "/league/"
repeat = "never"
deadline_ms = 4000
TOML
}

publish () { "$BIN" publish "$WORK/services" --platform "$PLATFORM" --wait "$@"; }

# start_system [ENGINE OPTION...]
start_system () {
  start_platform
  start_engines engine 10 "$ENGINE_PORT" north fabric-1 drafting "$@"
  start_service league $((BASE_PORT + 60)) north league
  put_instances
  add_daemon a north $((BASE_PORT + 1))
  add_daemon b north $((BASE_PORT + 2))
  start_daemons
  write_services
  publish >"$WORK/publish.log" 2>&1 || fail "publish: $(cat "$WORK/publish.log")"
  wait_until 15 has_open_groups "$A" drafts 2 || fail "no groups"
  wait_until 15 has_open_groups "$B" drafts 2 || fail "no groups at b"
}

post_booking () { # book URL KEY [BODY]
  post -H "Idempotency-Key: $2" -d "${3:-{\}}" "$1/league/bookings"
}
run_count () { get "$LEAGUE/record" | jq --arg k "$1" '.runs[$k] // 0'; }
post_completion () { # complete URL PROMPT [TOKENS]
  post -d "{\"model\":\"drafter\",\"max_tokens\":${3:-8},\"prompt\":\"$2\"}" "$1/v1/completions"
}
post_stream () {
  post -N -d "{\"model\":\"drafter\",\"max_tokens\":$3,\"stream\":true,\"prompt\":\"$2\"}" "$1/v1/completions"
}
stream_tokens () { grep -o '"text":"w[0-9]* "' "$1" | tr -d '\n'; }
engine_events () { get "$(engine_url 0)/record"; }
group_leader () { # group_leader URL GROUP-INDEX
  get "$1/burdockdale/state" | jq -r "[.groups[] | select(.service == \"drafts\")][$2].members[0]"
}
engine_index () { echo "${1##*-}"; }
check () { # check NAME COMMAND...
  local name=$1
  shift
  "$@" || fail "$name"
  CHECKS=$((${CHECKS:-0} + 1))
}
is_equal () { [ "$1" = "$2" ] || { print "'$1' is not '$2'"; return 1; }; }
print_check_count () { print "$CHECKS checks"; }
