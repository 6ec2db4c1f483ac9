#!/usr/bin/env bash
# Cuts off the leading host with a few minions; checks the rule TWICE.
export TROUBLE="${TROUBLE:-1}" # 0: the same without the cut; the rule must hold.
. "$(dirname "$0")/../run-case.sh"
