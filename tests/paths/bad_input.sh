#!/usr/bin/env bash
# Malformed input gets a clear error or a clean close, and the daemon stays up.
# A request is cancelled at its endpoint when the caller disconnects.
BASE_PORT=23600
. "$(dirname "$0")/common.sh"
start_system

http_status () { get -o /dev/null -w '%{http_code}' "$@" || true; }
send_raw () { exec 9<>"/dev/tcp/$HOST/$((BASE_PORT + 1))"; printf "$1" >&9; timeout 1 head -c 200 <&9 || true; exec 9>&-; }

check "bad JSON" is_equal "$(http_status -d '{' "$A/v1/completions")" 400
check "no model" is_equal "$(http_status -d '{}' "$A/v1/completions")" 400
check "unknown model" is_equal "$(http_status -d '{"model":"x","prompt":"y"}' "$A/v1/completions")" 404
check "wrong method" is_equal "$(http_status "$A/v1/completions")" 400
check "unknown path" is_equal "$(http_status "$A/nowhere")" 404
printf '[%.0s' $(seq 1 5000) >"$WORK/deep"
check "deep nesting" is_equal "$(http_status --data-binary "@$WORK/deep" "$A/v1/completions")" 400
head -c 5000000 /dev/zero >"$WORK/huge"
check "huge body" is_equal "$(http_status --data-binary "@$WORK/huge" "$A/v1/completions")" 413
check "huge chunked body" bash -c "code=\$(curl -s -o /dev/null -w '%{http_code}' -H 'Transfer-Encoding: chunked' --data-binary '@$WORK/huge' $A/v1/completions); [[ \$code = 413 || \$code = 000 ]]"
head -c 70000 /dev/zero | tr '\0' 'h' >"$WORK/header"
check "huge header" bash -c "code=\$(curl -s -o /dev/null -w '%{http_code}' -H \"X-Big: \$(head -c 60000 '$WORK/header')\" $A/healthz); [[ \$code = 431 || \$code = 413 || \$code = 000 ]]"
send_raw 'NONSENSE\r\n\r\n' >/dev/null
send_raw 'POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{"mod' >/dev/null
send_raw 'GET /%%00%%ff HTTP/1.1\r\nHost: x\r\n\r\n' >/dev/null
send_raw 'GET /cut-in-the-headers HTTP/1.1\r\nHost: x\r\nX-Part' >/dev/null
send_raw 'POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: nonsense\r\n\r\n' >/dev/null
check "still up" is_equal "$(http_status "$A/healthz")" 200
check "problem type" bash -c "curl -s -D - -d '{' $A/v1/completions | grep -qi 'application/problem+json'"

timeout 0.4 curl -s -N -d '{"model":"drafter","max_tokens":2000,"stream":true,"prompt":"gone"}' "$A/v1/completions" >/dev/null || true
check "a caller that disconnects cancels the request at the engine" wait_until 5 bash -c "curl -s $(engine_url 0)/record | grep -q cancelled"
# A caller that closes its socket with unread data sends a TCP reset.  The
# engines are frozen, so that no write to the caller detects the closed
# connection.
leave='{"model":"drafter","max_tokens":3000,"stream":true,"prompt":"reset"}'
for i in 1 2 3; do
  exec 9<>"/dev/tcp/$HOST/$((BASE_PORT + 1))"
  printf 'POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s' "${#leave}" "$leave" >&9
  sleep 0.3
  for e in $(seq 0 9); do set_faults "$(engine_url "$e")" '{"freeze":true}'; done
  exec 9>&-
  check "no call is open after a reset" wait_until 3 bash -c "[ \$(curl -s $A/burdockdale/state | jq .calls) = 0 ]"
  for e in $(seq 0 9); do set_faults "$(engine_url "$e")" '{"freeze":false}'; done
  wait_until 5 has_open_groups "$A" drafts 2 || fail "no open groups"
done
check "no call is open" wait_until 5 bash -c "[ \$(curl -s $A/burdockdale/state | jq .calls) = 0 ]"
check "random bytes on the peer port" bash -c "head -c 3000 /dev/urandom >/dev/tcp/$HOST/$((BASE_PORT + 101)) || true"
sleep 0.3
check "still up" is_equal "$(http_status "$A/healthz")" 200
kill -TERM "${PIDS[a]}"
wait "${PIDS[a]}" && code=0 || code=$?
unset "PIDS[a]"
check "exit code 0, no leaks" is_equal "$code" 0
check "no sanitizer report" bash -c "! grep -qE 'ERROR: .*Sanitizer|runtime error' '$WORK/a.log'"
print_check_count
