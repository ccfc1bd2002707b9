#!/usr/bin/env bash
# Runs the measurements and prints the tables of docs/measurements.md. Takes about ten minutes
# on ten CPUs.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --quiet --release --workspace
measure=target/release/eelgrassdeal-measure

echo "== group downtime and stranded accelerators (of available VMs in no serving group)"
"$measure" groups --seed 1
echo "== serving groups while VMs are lost"
"$measure" losses
echo "== service while a data centre is taken out of service and returned"
"$measure" centre
echo "== bytes buffered for slow readers"
# Exits with 1 if the result misses its target, which the table shows. The later measurements still
# run.
"$measure" slow-readers || true
echo "== latency that a node adds, requests per second and memory per connection"
"$measure" front
echo "== requests above the slot limits and message traffic of the slot policies"
"$measure" slots
