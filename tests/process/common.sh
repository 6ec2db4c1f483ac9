# Sourced by the process tests: a small deployment, and what they all check at the end. Verdicts hang on conditions; figures
# are printed with "measured:" and decide nothing.
set -euo pipefail
cd "$(dirname "$0")/../.."
BIN=$1
RUN=$(mktemp -d)
BASE_PORT=${BASE_PORT:-21000}
WORKERS_PER_CENTRE=${WORKERS_PER_CENTRE:-4}
STORE_FLAGS=(--journal="$RUN/store.journal")
. tools/deployment
trap 'stop_all; rm -rf "$RUN"' EXIT

ALL_WORKERS=$((WORKERS_PER_CENTRE * ${#CENTRES[@]}))
ALL_HOSTS=$(seq 0 $((${#HOSTS[@]} - 1)))
DAY=workloads/abay.json
LOAD=load  # Name of the load program that the functions below speak of.

fail() { echo "FAILED: $*" >&2; exit 1; }
now_ms() { date +%s%3N; }
name_of() { echo "${HOSTS[$1]%%:*}"; }
ctl() { "$BIN/hibiscusctl" --timeout_ms=5000 "$@"; }
through() { echo "127.0.0.1:$(http_port "$1")"; }
fault() { curl -sf -X POST "127.0.0.1:$(($1))/fault/$2" >/dev/null; }

start_load() {  # SECONDS FLAGS...
  local seconds=$1
  shift
  start "$LOAD" "$BIN/hibiscus_load" --server="${LOAD_SERVERS:-$(servers_by_centre)}" --day="$DAY" --seconds="$seconds" \
    --seed=7 "$@"
}

load_ended_well() {
  local result=0
  wait "${PIDS[$LOAD]}" || result=$?
  unset "PIDS[$LOAD]"
  sed -n '/^class/,$p' "$RUN/$LOAD.log"
  grep '^load:' "$RUN/$LOAD.log" || true
  [ "$result" = 0 ] || fail "the load program ended with $result"
}

# The load has so many answers.
load_has_answers() {  # COUNT
  [ "$(sed -n 's/^ *[0-9]* s: \([0-9]*\) of .*/\1/p' "$RUN/$LOAD.log" | tail -n 1)" -ge "$1" ] 2>/dev/null
}

# How many answers of the load were whole.
load_whole() { sed -n 's/.*ended, \([0-9]*\) whole.*/\1/p' "$RUN/$LOAD.log" | tail -n 1; }
load_whole_at_least() { [ "$(load_whole)" -ge "$1" ] 2>/dev/null; }

# The day's configuration, and beside its classes tasks and gangs that may not run twice.
write_never_twice_configuration() {  # FILE
  python3 - "$DAY" "$1" <<'PYTHON'
import json, sys
configuration = json.load(open(sys.argv[1]))
for kind in ("batch", "gang"):
    configuration["classes"].append({"name": f"once-{kind}", "kind": kind, "start_within_ms": 3000,
                                     "finish_within_ms": 60000, "may_run_twice": False})
json.dump(configuration, open(sys.argv[2], "w"))
PYTHON
}

field() { python3 -c "import json, sys; print(json.load(sys.stdin).get('$1', ''))" 2>/dev/null || true; }
submit() {  # INDEX FLAGS... : the answer as JSON
  local index=$1
  shift
  "$BIN/hibiscusctl" --json --server="$(through "$index")" "$@" submit 2>/dev/null || true
}
served() { [ "$(submit "$@" | field code)" = 100 ]; }

# All starts of a request that the stand-ins saw, one number for each of its tasks, in ascending order.
starts_of() {  # TENANT ID
  local port
  for port in 40 41 42 50 51 52; do curl -s "127.0.0.1:$((BASE_PORT + port))/starts/$1/$2"; echo; done | python3 -c "
import collections, json, sys
starts = collections.Counter()
for line in sys.stdin:
    starts.update(json.loads(line or '{}'))
print(*sorted(starts.values()))"
}

# No stand-in saw a broken promise, no program an invariant, and nobody died whom the test did not kill.
check_promises() {
  local port name
  for port in 40 41 42 50 51 52; do
    curl -s "127.0.0.1:$((BASE_PORT + port))/log" >"$RUN/promises"
    grep -q '"broken":\[\]' "$RUN/promises" || fail "promises broken: $(cat "$RUN/promises")"
  done
  invariants_held || fail "an invariant did not hold"
  for name in "${!PIDS[@]}"; do
    kill -0 "${PIDS[$name]}" 2>/dev/null || { tail -n 5 "$RUN/$name.log" >&2; fail "$name died"; }
  done
}
