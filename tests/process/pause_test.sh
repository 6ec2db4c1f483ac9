#!/usr/bin/env bash
# SIGSTOP of one daemon until others hold all its workers, then SIGCONT: no start is accepted from the old holder (the
# stand-ins note one as a broken promise), callers are answered, and the host comes back. Use: pause_test.sh BIN_FOLDER
. "$(dirname "$0")/common.sh"

start_all "$DAY"
start_load 16
wait_for "answers" load_has_answers 100
kill -STOP "${PIDS[$(name_of 0)]}"
stopped=$(now_ms)
wait_for "every worker is leased by the others" leases_held "$ALL_WORKERS"
echo "measured: $(($(now_ms) - stopped)) ms from SIGSTOP until every worker is leased by a live host (polled)"
kill -CONT "${PIDS[$(name_of 0)]}"
holds_again() { [ "$(status_of 0 workers_leased)" -ge 1 ] 2>/dev/null; }
wait_for "the host holds leases again" holds_again
load_ended_well
check_promises
grep -q 'paused for' "$RUN/$(name_of 0).log" || fail "the host did not notice its pause"
stale=$(curl -s "127.0.0.1:$((BASE_PORT + 40))/log" | python3 -c "
import json, sys
print(sum(n for k, n in json.load(sys.stdin)['start_replies'].items() if k.endswith('stale_token')))")
echo "measured: 0 starts accepted under an old token, $stale refused as stale"
