#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into target/review-2. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
compile() { g++ -std=c++20 -O1 -Wall -Wextra -pthread -c "$1" -o "$2"; }
jobs=()
for source in review/standin-2/*.cc; do
  compile "$source" "target/review-2/$(basename "$source" .cc).o" & jobs+=($!)
done
for number in 6 7 8 9 10; do
  [ -f "review/$number/case.cc" ] || continue
  compile "review/$number/case.cc" "target/review-2/case-$number.case" & jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
for built in target/review-2/case-*.case; do
  g++ -pthread "$built" target/review-2/*.o -o "${built%.case}"
done
