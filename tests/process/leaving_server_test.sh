#!/usr/bin/env bash
# A backend server that is leaving gets nothing new. Use: leaving_server_test.sh BIN_FOLDER
. "$(dirname "$0")/common.sh"

SERVER=s-dc-b-1
PORT=$((BASE_PORT + 51))
offers() { curl -s "127.0.0.1:$PORT/log" | python3 -c "
import json, sys
print(json.load(sys.stdin)['offers_while_leaving'].get('$SERVER', {}).get('$1', 0))"; }

start_all "$DAY"
start_load 12 --rate=2
wait_for "answers" load_has_answers 200
fault PORT "leave/$SERVER"
load_ended_well
last=$(offers last_ms)
echo "measured: $(offers count) calls offered to a leaving server, the last $last ms after it began to leave"
check_promises
