#!/usr/bin/env bash
# Cuts off the data centre of the leading host; checks the rule TWICE.
. "$(dirname "$0")/../run-case.sh"
