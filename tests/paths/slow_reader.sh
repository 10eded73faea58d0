#!/usr/bin/env bash
# A caller that does not read its stream slows down the engine by
# backpressure.  The memory of the daemon stays bounded, other callers are
# served, and the whole stream arrives once the caller reads.
BASE_PORT=25600
. "$(dirname "$0")/common.sh"
start_system token_ms=0

rss_kib () { awk '/VmRSS/ { print $2 }' "/proc/${PIDS[a]}/status"; }
before=$(rss_kib)
post_stream "$A" slow 400000 | { sleep 2; cat; } >"$WORK/slow" &
reader=$!
sleep 1.5
# The stream has about 37 MB; the daemon may buffer a tenth of it.
check "the daemon buffers at most a tenth of the stream" test $(($(rss_kib) - before)) -le 3700
check "other callers are served" is_equal "$(post_completion "$A" x | jq -r .usage.completion_tokens)" 8
wait "$reader"
check "the whole stream arrives" is_equal "$(grep -c '"text":' "$WORK/slow")" 400000
check "the stream has the [DONE] event" grep -q '^data: \[DONE\]' "$WORK/slow"
print_check_count
