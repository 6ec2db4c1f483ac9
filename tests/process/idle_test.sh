#!/usr/bin/env bash
# Ten thousand idle connections to one daemon: other callers are served. Use: idle_test.sh BIN_FOLDER
. "$(dirname "$0")/common.sh"

start_all "$DAY"
python3 - "$(http_port 0)" "$BIN/hibiscusctl" <<'PYTHON'
import resource
import socket
import subprocess
import sys

COUNT = 10_000
hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
idle = [socket.create_connection(("127.0.0.1", int(sys.argv[1]))) for _ in range(COUNT)]
words = [sys.argv[2], f"--server=127.0.0.1:{sys.argv[1]}", "--class_name=slot-fill", "submit"]
sys.exit(0 if all(subprocess.run(words, stdout=subprocess.DEVNULL).returncode == 0 for _ in range(20)) else 1)
PYTHON
check_promises
