#!/usr/bin/env bash
# Running tasks and gangs survive kill -9 of their home host and of the owner of their workers: each starts once, and a
# caller that asks again gets the whole answer. Use: tests/process/survive_test.sh BIN_FOLDER
WORKERS_PER_CENTRE=6
. "$(dirname "$0")/common.sh"

ENTRY=0           # Takes all requests; the victim is another host of its data centre.
RUN_MS=14000      # Longer than the takeover of the victim's workers.
MOST_REQUESTS=60  # Of each class; only ends a hopeless run.
ONCE=$RUN/once.json
declare -A CLASS_OF HIT  # Class of each id; an id for each class and role of the victim.

flags_of() {  # ID
  echo "--tenant=once --id=$1 --class_name=${CLASS_OF[$1]} --cpu_millis=500 --run_ms=$RUN_MS"
  [ "${CLASS_OF[$1]}" != once-gang ] || echo "--members=3"
}

# Prints "home owner owner ...", the owners of the members that run now, or nothing if any does not run yet.
places_of() {  # ID
  ctl --json --server="$(through 0),$(through 1),$(through 2)" explain request once "$1" 2>/dev/null | python3 -c "
import json, sys
view = json.load(sys.stdin)
members = view.get('members', [])
if view['known'] and members and all(member['phase'] == 'running' for member in members):
    print(view['home'], *(member['owner'] for member in members))" 2>/dev/null || true
}

leased_by() { status_of "$1" workers_leased; }

begin() {  # ID CLASS
  CLASS_OF[$1]=$2
  submit $ENTRY --attempt=1 $(flags_of "$1") >"$RUN/answer-$1" &
  CALLERS+=($!)
  running() { [ -n "$(places_of "$1")" ]; }
  wait_for "$1 runs" running "$1"
}

# Begins one more request, and keeps its id if it hits the victim: as its home host, or as owner of what another runs.
begin_and_sort() {  # ID CLASS
  local places
  begin "$1" "$2"
  places=$(places_of "$1")
  if [ "${places%% *}" = "$VICTIM_NAME" ]; then
    HIT[$2-home]=$1
  elif grep -qw "$VICTIM_NAME" <<<"$places"; then
    HIT[$2-owner]=$1
  fi
}

# A running request of each class for each role of the victim; those that have ended count no more.
every_role_hit() {
  local role
  for role in "${!HIT[@]}"; do
    [ -n "$(places_of "${HIT[$role]}")" ] || unset "HIT[$role]"
  done
  [ ${#HIT[@]} = 4 ]
}

answered_whole() {  # ID: raises the attempt with every try, as docs/API.md asks of callers
  ATTEMPT=$((ATTEMPT + 1))
  [ "$(submit $ENTRY --attempt=$ATTEMPT $(flags_of "$1") | tee "$RUN/again-$1" | field code)" = 100 ]
}

write_never_twice_configuration "$ONCE"
start_all "$ONCE"
VICTIM=1
[ "$(leased_by 2)" -le "$(leased_by 1)" ] || VICTIM=2
VICTIM_NAME=$(name_of $VICTIM)
CALLERS=()
for ((number = 1; number <= MOST_REQUESTS; number++)); do
  for class in once-gang once-batch; do
    [ -n "${HIT[$class-home]:-}" ] && [ -n "${HIT[$class-owner]:-}" ] || begin_and_sort "$class-$number" "$class"
  done
  if [ ${#HIT[@]} = 4 ] && every_role_hit; then break; fi
done
[ ${#HIT[@]} = 4 ] || fail "$VICTIM_NAME was never home host and owner of both: ${!HIT[*]}"
kill_host $VICTIM
unset "PIDS[$VICTIM_NAME]"
for id in "${!CLASS_OF[@]}"; do
  ATTEMPT=1
  wait_for "the whole answer of $id" answered_whole "$id"
done
wait "${CALLERS[@]}" || true
first=0
for id in "${!CLASS_OF[@]}"; do
  [ "$(field code <"$RUN/answer-$id")" != 100 ] || first=$((first + 1))
  want=1
  [ "${CLASS_OF[$id]}" != once-gang ] || want="1 1 1"
  [ "$(starts_of once "$id")" = "$want" ] || fail "$id started: '$(starts_of once "$id")', not '$want'"
done
echo "measured: $first of ${#CLASS_OF[@]} callers had the whole answer without asking again"
wait_for "every worker is leased by the others" leases_held "$ALL_WORKERS"
check_promises
