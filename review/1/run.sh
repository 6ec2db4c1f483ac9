#!/usr/bin/env bash
# Kills the leading host while tasks of a repeated job are at work; checks the rule TWICE.
. "$(dirname "$0")/../run-case.sh"
