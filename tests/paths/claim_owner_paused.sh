#!/usr/bin/env bash
# While the daemon that owns claim shards is paused (SIGSTOP), the other daemon
# commits claims itself.  No booking runs twice after the owner resumes.
BASE_PORT=24600
. "$(dirname "$0")/common.sh"
start_system

for i in 1 2 3 4 5 6 7 8; do post_booking "$A" "before-$i" >/dev/null; done
pause_process b
for i in $(seq 1 16); do post_booking "$A" "paused-$i" >"$WORK/paused-$i" & done
wait_for_requests
for i in $(seq 1 16); do
  check "booking $i succeeds while the owner is paused" is_equal "$(jq -r .key "$WORK/paused-$i")" "paused-$i"
done
resume_process b
sleep 0.5
for i in $(seq 1 16); do post_booking "$B" "paused-$i" >/dev/null; done
for i in 1 2 3 4 5 6 7 8; do post_booking "$B" "before-$i" >/dev/null; done
for i in $(seq 1 16); do check "booking $i ran once" is_equal "$(run_count "paused-$i")" 1; done
for i in 1 2 3 4 5 6 7 8; do check "earlier booking $i ran once" is_equal "$(run_count "before-$i")" 1; done
print_check_count
