#!/usr/bin/env bash
# Cuts off one minion while a task that lasts ends there; checks the rule TWICE.
. "$(dirname "$0")/../run-case.sh"
