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

fail() { echo "FAILED: $*" >&2; exit 1; }
now_ms() { date +%s%3N; }
name_of() { echo "${HOSTS[$1]%%:*}"; }
ctl() { "$BIN/hibiscusctl" --timeout_ms=5000 "$@"; }
through() { echo "127.0.0.1:$(http_port "$1")"; }
fault() { curl -sf -X POST "127.0.0.1:$(($1))/fault/$2" >/dev/null; }

start_load() {  # SECONDS FLAGS...
  local seconds=$1
  shift
  start load "$BIN/hibiscus_load" --server="$(servers_by_centre)" --day="$DAY" --seconds="$seconds" --seed=7 "$@"
}

load_ended_well() {
  local result=0
  wait "${PIDS[load]}" || result=$?
  unset 'PIDS[load]'
  sed -n '/^class/,$p' "$RUN/load.log"
  grep '^load:' "$RUN/load.log" || true
  [ "$result" = 0 ] || fail "the load program ended with $result"
}

# The load has so many answers.
load_has_answers() {  # COUNT
  [ "$(sed -n 's/^ *[0-9]* s: \([0-9]*\) of .*/\1/p' "$RUN/load.log" | tail -n 1)" -ge "$1" ] 2>/dev/null
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
