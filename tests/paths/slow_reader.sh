#!/usr/bin/env bash
# A caller that does not read holds back the engine's stream: the daemon's
# memory stays bounded, others are served, and the whole stream arrives once
# the caller reads.
BASE_PORT=25600
. "$(dirname "$0")/common.sh"
start_system token_ms=0

rss_kib () { awk '/VmRSS/ { print $2 }' "/proc/${PIDS[a]}/status"; }
before=$(rss_kib)
post_stream "$A" slow 400000 | { sleep 2; cat; } >"$WORK/slow" &
reader=$!
sleep 1.5
# The stream is about 37 MB; a tenth of it may wait in buffers of the daemon.
check "the daemon holds only a little of it" test $(($(rss_kib) - before)) -le 3700
check "others are served" is_equal "$(post_completion "$A" x | jq -r .usage.completion_tokens)" 8
wait "$reader"
check "the whole stream arrives" is_equal "$(grep -c '"text":' "$WORK/slow")" 400000
check "with its end mark" grep -q '^data: \[DONE\]' "$WORK/slow"
print_check_count
