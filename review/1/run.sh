#!/usr/bin/env bash
# Kills the leading host while tasks of a repeated job are at work; checks the rule TWICE.
export TROUBLE="${TROUBLE:-1}" # 0: the same without the kill; the rule must hold.
. "$(dirname "$0")/../run-case.sh"
