#!/usr/bin/env bash
# Builds the stand-ins and the cases of this review into target/review. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
for source in review/standin/*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -c "$source" -o "target/review/$(basename "$source" .cc).o" &
done
wait
for folder in review/[1-5]; do
  [ -f "$folder/case.cc" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$folder/case.cc" target/review/*.o \
    -o "target/review/case-$(basename "$folder")" &
done
wait
