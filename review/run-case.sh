# Sourced by the run.sh of a case: runs its program in a temporary folder. Exit code: 1 broken, 0 held, 2 not run.
folder=$(cd "$(dirname "$0")" && pwd)
number=$(basename "$folder")
cd "$folder/../.."
program="target/review/case-$number"
if [ ! -x "$program" ] || [ ! -x target/bin/hibiscusd ]; then
  echo "case $number: build the deploy file and review/build.sh first" >&2
  exit 2
fi
temporary=$(mktemp -d)
trap 'rm -rf "$temporary"' EXIT
code=0
timeout -k 5 110 "$program" "$temporary" "$folder/record.txt" || code=$?
for log in "$temporary"/*.log; do
  [ -f "$log" ] && [ -n "${KEEP_LOGS:-}" ] && cp "$log" "$KEEP_LOGS/"
done
if [ "$code" -gt 2 ]; then
  echo "case $number: the program ended with code $code" >&2
  code=2
fi
exit "$code"
