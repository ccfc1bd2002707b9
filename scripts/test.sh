#!/usr/bin/env bash
# Formats, lints, checks the generated code and the dependencies, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."

echo "== format"
cargo fmt --all -- --check

echo "== generated code"
generated=$(mktemp -d)
trap 'rm -rf "$generated"' EXIT
cargo run --quiet -p eelgrassdeal_codegen -- "$generated"
diff -r "$generated" crates/eelgrassdeal_schema/src/generated

echo "== io_uring is absent"
if cargo tree --workspace --target all -i io-uring 2>/dev/null | grep -q .; then
    echo "a dependency pulls in io-uring" >&2
    exit 1
fi

echo "== lint"
cargo clippy --quiet --workspace --all-targets -- -D warnings

echo "== tests"
# Each line `test: NAME` of KNOWN-RED.txt names a test that fails because of a known fault.
known_red=()
if [ -f KNOWN-RED.txt ]; then
    while read -r name; do
        echo "known red, passed over: $name"
        known_red+=(--skip "$name")
    done < <(sed -n 's/^test: //p' KNOWN-RED.txt)
fi
cargo test --quiet --workspace -- "${known_red[@]}"
