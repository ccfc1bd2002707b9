#!/usr/bin/env bash
# Prints the tables of docs/measurements.md. Takes about ten minutes on ten processors.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --quiet --release --workspace
measure=target/release/eelgrassdeal-measure

echo "== group downtime and stranded accelerators"
"$measure" groups --seed 1
echo "== groups that serve on days of losses"
"$measure" losses
echo "== service while a data centre leaves and returns"
"$measure" centre
echo "== bytes held for slow readers"
# Exits with 1 while its target is missed; the table tells.
"$measure" slow-readers || true
echo "== what a node adds"
"$measure" front
echo "== overshoot and traffic of the division of slots"
"$measure" slots
