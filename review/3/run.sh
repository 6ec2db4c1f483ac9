#!/usr/bin/env bash
# Crashes minions under different members of a gang; checks the rule LOST.
export TROUBLE="${TROUBLE:-1}" # 0: the same without the crashes; the rule must hold.
. "$(dirname "$0")/../run-case.sh"
