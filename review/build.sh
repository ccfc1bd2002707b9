#!/usr/bin/env bash
# Builds the stand-ins and the cases. They use only the standard library.
set -euo pipefail
cd "$(dirname "$0")/harness"
cargo build --release --offline --locked --target-dir ../../target/review
