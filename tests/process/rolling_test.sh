#!/usr/bin/env bash
# Every entry host replaced in turn by planned stops, under load: no request is cut off, so no caller sees `unknown`, a
# failure, or no answer. Use: rolling_test.sh BIN_FOLDER
. "$(dirname "$0")/common.sh"

start_all "$DAY"
start_load 60 --strict
wait_for "answers" load_has_answers 50
for index in $ALL_HOSTS; do
  name=$(name_of "$index")
  ctl --server="$(through "$index")" drain >/dev/null
  asked=$(now_ms)
  wait "${PIDS[$name]}" || fail "$name did not end its planned stop well"
  echo "measured: planned stop of $name took $(($(now_ms) - asked)) ms"
  start_host "$index"
  wait_for "the configuration on $name" configured "$index" 1
  wait_for "every worker is leased" leases_held "$ALL_WORKERS"
done
load_ended_well
lost=0
for index in $ALL_HOSTS; do
  lost=$((lost + $(curl -s "$(through "$index")/metrics" | sed -n 's/^hibiscus_peer_deliveries_lost \([0-9]*\)$/\1/p')))
done
echo "measured: $lost deliveries between hosts lost, as the running processes count"
check_promises
