#!/usr/bin/env bash
# Builds the stand-ins that the cases from review/4 on start.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
cargo build --release --offline --locked
