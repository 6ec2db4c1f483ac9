#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/bin/hibiscusd ] && [ -x "target/review-2/case-$(basename "$folder")" ] || exit 2
exec timeout --signal=TERM --kill-after=3 118 "target/review-2/case-$(basename "$folder")" "$folder"
