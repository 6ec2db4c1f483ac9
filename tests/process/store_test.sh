#!/usr/bin/env bash
# The store killed, slowed and back, under load: waiting callers lose nothing, the configuration stays in force, a change
# is refused plainly while the store is out and goes through afterwards. Use: store_test.sh BIN_FOLDER
. "$(dirname "$0")/common.sh"

start_all "$DAY"
start_load 14
wait_for "answers" load_has_answers 100
kill -KILL "${PIDS[store]}"
wait "${PIDS[store]}" 2>/dev/null || true
if ctl --server="$(through 0)" config set "$DAY" >"$RUN/refused"; then fail "a change went through without a store"; fi
grep -q 'store_unavailable\|unknown_outcome' "$RUN/refused" || fail "no plain refusal: $(cat "$RUN/refused")"
for index in $ALL_HOSTS; do configured "$index" 1 || fail "host $index forgot its configuration"; done
start_store
wait_for "a change goes through again" set_configuration "$DAY"
for index in $ALL_HOSTS; do wait_for "version 2 on host $index" configured "$index" 2; done
fault BASE_PORT delay_ms/700
wait_for "a change through the slow store" set_configuration "$DAY"
for index in $ALL_HOSTS; do wait_for "version 3 on host $index" configured "$index" 3; done
fault BASE_PORT delay_ms/0
# Every host ends at the same version, also where the client gave up on an answer.
newest=$(status_of 0 config_version)
for index in $ALL_HOSTS; do
  [ "$(status_of "$index" config_version)" = "$newest" ] || fail "host $index is not at version $newest"
done
load_ended_well
check_promises
