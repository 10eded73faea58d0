#!/usr/bin/env bash
# `burdockdale explain` finds a request in the logs of several daemons, from
# files and from the standard input, and fails when no log knows it.
BASE_PORT=24700
. "$(dirname "$0")/common.sh"

record () { echo "{\"time\":\"2026-12-05T10:00:$1Z\",\"process\":\"$2\",\"event\":\"$3\",$4}"; }
exit_code () { "$@" >/dev/null 2>&1 && echo 0 || echo $?; }

record 02.000 edge-1 request '"id":"r1","route":"chat"' >"$WORK/1.log"
record 02.500 edge-1 answer '"id":"r1","status":"503","outcome":"overloaded"' >>"$WORK/1.log"
record 02.100 edge-2 attempt '"id":"r1","try":"1","endpoint":"w-1"' >"$WORK/2.log"
echo 'Segmentation fault' >>"$WORK/2.log"

story=$("$BIN" explain r1 "$WORK/2.log" "$WORK/1.log" 2>"$WORK/errors")
check "a line for each record, in order" is_equal "$(awk '{ print $1, $3 }' <<<"$story" | tr '\n' ';')" '+0.000 edge-1;+0.100 edge-2;+0.500 edge-1;'
check "the outcome" grep -q 'answered 503 overloaded' <<<"$story"
check "lines that are no records are counted" grep -q '1 lines are no log records' "$WORK/errors"
check "the standard input" is_equal "$(cat "$WORK"/[12].log | "$BIN" explain r1 2>/dev/null)" "$story"
check "exit code of a known id" is_equal "$(exit_code "$BIN" explain r1 "$WORK/1.log")" 0
check "exit code of an unknown id" is_equal "$(exit_code "$BIN" explain r2 "$WORK/1.log")" 1
check "exit code of a missing file" is_equal "$(exit_code "$BIN" explain r1 "$WORK/1.log" "$WORK/3.log")" 1
check "exit code without an id" is_equal "$(exit_code "$BIN" explain)" 2
print_check_count
