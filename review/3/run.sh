#!/usr/bin/env bash
# Crashes the minion of a task twice soon after its start; checks the rule LOST.
export TROUBLE="${TROUBLE:-1}" # 0: the same without the crashes; the rule must hold.
. "$(dirname "$0")/../run-case.sh"
