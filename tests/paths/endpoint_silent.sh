#!/usr/bin/env bash
# Sound endpoints are silent for a second and go on: their callers get whole
# responses from the first attempt.
BASE_PORT=24300
. "$(dirname "$0")/common.sh"
start_system

# set_frozen VALUE ENGINE...: all at once, so that each is silent for as long.
set_frozen () {
  local value=$1 i pids=()
  shift
  for i in "$@"; do
    set_faults "$(engine_url "$i")" "{\"freeze\":$value}" &
    pids+=($!)
  done
  wait "${pids[@]}"
}
# silence ENGINE...: the engines do nothing for 1.1 s.
silence () {
  set_frozen true "$@"
  sleep 1.1
  set_frozen false "$@"
}
# check_stream NAME ENGINE...: a stream is whole though the engines are silent.
check_stream () {
  local name=$1 attempts reader
  shift
  attempts=$(metric_value "$A" attempts_total)
  post_stream "$A" "whole" 60 >"$WORK/silent" &
  reader=$!
  sleep 0.3
  silence "$@"
  wait "$reader"
  check "a stream is whole though $name" is_equal "$(stream_tokens "$WORK/silent")" "$(stream_tokens "$WORK/whole")"
  check "it has the [DONE] event though $name" grep -q '^data: \[DONE\]' "$WORK/silent"
  check "it has run once though $name" is_equal "$(($(metric_value "$A" attempts_total) - attempts))" 1
  check "both groups stay open though $name" wait_until 5 has_open_groups "$A" drafts 2
}

post_stream "$A" "whole" 60 >"$WORK/whole"
check "a stream is complete" is_equal "$(grep -c '"text":' "$WORK/whole")" 60
check_stream "all endpoints are silent" 0 1 2 3 4 5 6 7 8 9
check_stream "the leaders are silent" "$(engine_index "$(group_leader "$A" 0)")" "$(engine_index "$(group_leader "$A" 1)")"

set_faults "$LEAGUE" '{"slow_ms":1100}'
check "a booking is whole" is_equal "$(post_booking "$A" silent | jq -r .key)" silent
check "the booking ran once" is_equal "$(run_count silent)" 1
print_check_count
