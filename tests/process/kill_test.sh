#!/usr/bin/env bash
# kill -9 of one daemon under load: every caller has a whole answer, a plain refusal or `unknown`; the dead host's workers
# take new work through others; no running task is lost. Use: tests/process/kill_test.sh BIN_FOLDER
. "$(dirname "$0")/common.sh"

start_all "$DAY"
start_load 12
wait_for "answers" load_has_answers 100
kill_host 1
unset "PIDS[$(name_of 1)]"
killed=$(now_ms)
wait_for "every worker is leased by the others" leases_held "$ALL_WORKERS"
echo "measured: $(($(now_ms) - killed)) ms from the kill until every worker is leased by a live host (polled)"
load_ended_well
check_promises
