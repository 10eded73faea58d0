#!/bin/sh
# Runs the scenario of one case: run-case.sh FOLDER.  Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$1" && pwd) || exit 2
cd "$folder/../.." || exit 2
program="review/bin/case$(basename "$folder")"
[ -x "$program" ] && [ -x target/burdockdale ] || exit 2
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
"$program" "$folder"
code=$?
for log in "$CASE_TMP"/*.log; do
  [ -n "${KEEP_LOGS:-}" ] && cp "$log" "$KEEP_LOGS"
done
rm -rf "$CASE_TMP"
[ "$code" -le 2 ] || code=2
exit "$code"
