#!/usr/bin/env bash
# Two operators change the configuration at once, through different hosts, several times over: each round exactly one wins
# or both lose, every host ends at the same change, and no version ever goes back. Use: operators_test.sh BIN_FOLDER
. "$(dirname "$0")/common.sh"

version_of() { status_of "$1" config_version; }
change_of() { ctl --json --server="$(through "$1")" config get | python3 -c "
import json, sys
configuration = json.load(sys.stdin)['configuration']
print(configuration['version'], configuration['change_id'])"; }

start_all "$DAY"
version=1
slowest=0
for round in 1 2 3 4 5; do
  ctl --server="$(through 0)" config set workloads/abay.json >"$RUN/first" 2>&1 & first=$!
  ctl --server="$(through 5)" config set workloads/formularios.json >"$RUN/second" 2>&1 & second=$!
  won=0
  wait "$first" && won=$((won + 1))
  wait "$second" && won=$((won + 1))
  accepted=$(now_ms)
  now=$(version_of 0)
  [ "$((now - version))" -ge "$won" ] || fail "round $round: $won operators won, but version $version became $now"
  for index in $ALL_HOSTS; do wait_for "version $now on host $index" configured "$index" "$now"; done
  took=$(($(now_ms) - accepted))
  [ "$took" -gt "$slowest" ] && slowest=$took
  for index in $ALL_HOSTS; do
    [ "$(change_of "$index")" = "$(change_of 0)" ] || fail "round $round: hosts 0 and $index differ"
  done
  version=$now
done
[ "$version" -gt 1 ] || fail "no change ever went through"
ctl --json --versions=100 --server="$(through 3)" config history >"$RUN/history" || fail "the history is not whole"
python3 -c "
import json, sys
versions = json.load(open(sys.argv[1]))
print(versions[0]['version'], versions[0]['change_id'])
assert [v['version'] for v in versions] == list(range(int(sys.argv[2]), 0, -1)), 'a version is missing'
assert len({v['change_id'] for v in versions}) == len(versions), 'a change stands twice'
" "$RUN/history" "$version" >"$RUN/latest" || fail "the history is wrong"
[ "$(cat "$RUN/latest")" = "$(change_of 0)" ] || fail "the history's latest version is not the one in force"
echo "measured: a change is in force on all ${#HOSTS[@]} hosts within $slowest ms of its acceptance, slowest of 5 (polled)"
check_promises
