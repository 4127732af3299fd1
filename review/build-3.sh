#!/bin/sh
# Builds the stand-ins of the cases 9 to 13, without a network.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
cargo build --release --offline --locked --manifest-path review/standin-3/Cargo.toml
