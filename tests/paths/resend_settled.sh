#!/usr/bin/env bash
# A resend of a call whose outcome the owner of its claims has in memory is
# settled within the submission of its claim.  The daemon then used memory that
# it had freed, which the sanitizers find.
BASE_PORT=26600
. "$(dirname "$0")/common.sh"
start_system

for key in one two three four; do
  post_booking "$A" "$key" >"$WORK/$key"
  check "booking $key runs" is_equal "$(jq -r .key "$WORK/$key")" "$key"
done
# Commits of a shard are spaced; claims that come later are settled at once.
sleep 0.5
for key in one two three four; do
  for url in "$A" "$B"; do
    post_booking "$url" "$key" >"$WORK/again" || true
    check "a resend of $key gets the recorded response" cmp "$WORK/$key" "$WORK/again"
  done
done
check "both daemons run" kill -0 "${PIDS[a]}" "${PIDS[b]}"
for name in a b; do
  check "daemon $name uses no freed memory" is_equal "$(grep -c 'heap-use-after-free' "$WORK/$name.log")" 0
done
print_check_count
