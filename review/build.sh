#!/bin/sh
# Builds the stand-in that the cases start. Needs no network.
cd "$(dirname "$0")/standin" && cargo build --release --offline --locked
