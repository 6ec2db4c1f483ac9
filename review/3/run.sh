#!/usr/bin/env bash
# Crashes the minion of a task twice soon after its start; checks the rule LOST.
. "$(dirname "$0")/../run-case.sh"
