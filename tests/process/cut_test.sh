#!/usr/bin/env bash
# One data centre cut off at the ports from the others, the store and the list, under load: connections hang, bytes are
# swallowed. Both sides go on serving their own; what may not run twice never does. The store is killed before healing, so
# that the configuration set meanwhile must come over the links between hosts; then all agree and all are served.
# Use: tests/process/cut_test.sh BIN_FOLDER
CUT_CENTRE=dc-c
. "$(dirname "$0")/common.sh"

CONTROL=$((BASE_PORT + 60))
OUTSIDE="0 1 2 3 4"
INSIDE="5 6"
ONCE=$RUN/once.json
TASK_MS=6000

newest_on() { for index in $1; do configured "$index" "$2" || return 1; done; }
swallowed() { curl -s "127.0.0.1:$CONTROL/counts" | field swallowed_bytes; }
once() {  # INDEX ID ATTEMPT CLASS FLAGS...
  submit "$1" --tenant=once --id="$2" --attempt="$3" --class_name="$4" --payload=x "${@:5}"
}

# A repeat on the other side of the cut, on its way: its answer goes to a file.
declare -A REPEATS
repeat_across() {  # INDEX ID CLASS FLAGS...
  once "$1" "$2" 2 "${@:3}" >"$RUN/repeat-$2" &
  REPEATS[$2]=$!
}

# Each was answered as unknown, or refused as not run.
repeats_in_doubt() {
  local id
  for id in "${!REPEATS[@]}"; do
    wait "${REPEATS[$id]}" || true
    case $(field verdict <"$RUN/repeat-$id") in
      unknown | not_run) echo "repeat of $id across the cut: $(field name <"$RUN/repeat-$id")" ;;
      *) fail "the repeat of $id across the cut was answered: $(cat "$RUN/repeat-$id")" ;;
    esac
  done
}

# A repeat after healing: may also find the answer, or is known to be one whose first attempt cannot be told of.
answered_again() {  # INDEX ID CLASS
  local name
  name=$(once "$1" "$2" 3 "$3" | field name)
  [ "$name" = ok ] || [ "$name" = repeat_of_unknown ] && echo "repeat of $2 after healing: $name"
}

ran_once() { [ "$(starts_of once "$1")" = 1 ] || fail "$1 started: '$(starts_of once "$1")' times"; }

# A claim that asks every data centre holds.
all_joined() { served "$1" --class_name=slot-fill --attempt=0; }

each_class_served() {  # INDEX
  wait_for "a call through host $1" served "$1" --class_name=slot-fill
  wait_for "a never-twice call through host $1" served "$1" --class_name=billing-report
  wait_for "a task through host $1" served "$1" --class_name=test-report --cpu_millis=1000 --run_ms=50
  wait_for "a gang through host $1" served "$1" --class_name=winding-model --members=3 --cpu_millis=1000 --run_ms=50
}

each_class_served_by() {  # INDEX...
  local index served=()
  for index in "$@"; do
    each_class_served "$index" &
    served+=($!)
  done
  for index in "${served[@]}"; do wait "$index" || fail "a host does not serve each class"; done
}

write_never_twice_configuration "$ONCE"
start_all "$ONCE"
for index in 0 3 5; do wait_for "the data centres know each other, seen from host $index" all_joined "$index"; done
LOAD=load-c LOAD_SERVERS="$(through 5),$(through 6)" start_load 20 --rate=0.4
LOAD_SERVERS="$(through 0),$(through 1),$(through 2);$(through 3),$(through 4)" start_load 20 --rate=0.6
LOAD=load-c wait_for "answers inside" load_has_answers 30
wait_for "answers outside" load_has_answers 50
[ "$(once 5 before 1 billing-report | field code)" = 100 ] || fail "no answer before the cut"

oldest=$(status_of 5 config_version)
fault CONTROL cut
whole_inside=$(LOAD=load-c load_whole)
whole_outside=$(load_whole)
wait_for "a change on the other side" set_configuration "$ONCE"
newest=$(status_of 0 config_version)
for index in $OUTSIDE; do wait_for "version $newest on host $index" configured "$index" "$newest"; done
each_class_served_by 0 5

# Done on one side, repeated on the other; and still running on one side, repeated on the other.
wait_for "never-twice work inside" served 5 --tenant=once --id=inside --class_name=billing-report --payload=x
wait_for "never-twice work outside" served 0 --tenant=once --id=outside --class_name=billing-report --payload=x
once 5 task-inside 1 once-batch --cpu_millis=1000 --run_ms=$TASK_MS >"$RUN/task-inside" &
TASK=$!
task_runs() { [ "$(starts_of once task-inside)" = 1 ]; }
wait_for "the task runs" task_runs
repeat_across 0 before billing-report
repeat_across 1 inside billing-report
repeat_across 5 outside billing-report
repeat_across 3 task-inside once-batch --cpu_millis=1000 --run_ms=$TASK_MS
LOAD=load-c wait_for "whole answers go on inside" load_whole_at_least $((whole_inside + 200))
wait_for "whole answers go on outside" load_whole_at_least $((whole_outside + 200))
repeats_in_doubt
for index in $INSIDE; do
  [ "$(status_of "$index" config_version)" = "$oldest" ] || fail "host $index is not at version $oldest: no cut"
  grep -q 'the host list is out of reach' "$RUN/$(name_of "$index").log" || fail "host $index reads the list: no cut"
done
[ "$(swallowed)" -gt 0 ] || fail "nothing went to the relay"

kill -KILL "${PIDS[store]}"
wait "${PIDS[store]}" 2>/dev/null || true
fault CONTROL heal
healed=$(now_ms)
wait_for "version $newest on every host" newest_on "$ALL_HOSTS" "$newest"
echo "measured: $(($(now_ms) - healed)) ms from healing until every host has the version set during the cut (polled)"
start_store
for index in $ALL_HOSTS; do wait_for "a claim over all data centres from host $index" all_joined "$index"; done
echo "measured: $(($(now_ms) - healed)) ms from healing until claims over all data centres held from every host in turn"
each_class_served_by $ALL_HOSTS
wait "$TASK" || true
for id in before inside; do wait_for "an answer to the repeat of $id" answered_again 0 "$id" billing-report; done
wait_for "an answer to the repeat of outside" answered_again 5 outside billing-report
[ "$(field code <"$RUN/task-inside")" = 100 ] || fail "the task inside: $(cat "$RUN/task-inside")"
for id in before inside outside task-inside; do ran_once "$id"; done
LOAD=load-c load_ended_well
load_ended_well
for index in $ALL_HOSTS; do
  [ "$(status_of "$index" config_version)" = "$newest" ] || fail "host $index is not at version $newest"
done
check_promises
