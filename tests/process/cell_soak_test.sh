#!/usr/bin/env bash
# A cell of real hosts under random disruptions keeps the platform's rules towards workers and callers.
# Seeds 3, 4, 12: replaced owners answered that accepted jobs do not exist; their tasks started after the cancel.
set -euo pipefail
cd "$(dirname "$0")/../.."
for seed in 3 4 12; do
  tools/cell-soak "$1/hibiscusd" --seed=$seed --seconds=20
done
# The owner loses power again and again; the workers, with 64 connections each, do not learn of it.
tools/cell-soak "$1/hibiscusd" --seed=1 --seconds=15 --kinds=power --fault_interval=4
# Late orders reach the next lives of workers, beside silent paths and connections between the hosts.
tools/cell-soak "$1/hibiscusd" --seed=5 --seconds=6 --kinds=late_orders,split_peers,silence_peers --fault_interval=2 \
  --longest_task=0.6
# Hosts are stopped beside a silent store while callers send what cannot be stored in time.
tools/cell-soak "$1/hibiscusd" --seed=8302 --seconds=6 --kinds=stop_beside_silence --fault_interval=60 \
  --longest_task=0.6 --job_interval=0.3
# Workers are replaced, hosts join and are removed; the jobs' queue has advice.
tools/cell-soak "$1/hibiscusd" --seed=8 --seconds=6 --kinds=release,join_host,remove_host,cut_off --fault_interval=1 \
  --late_hosts=2 --advice=1
