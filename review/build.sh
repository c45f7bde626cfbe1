#!/bin/sh
# Builds the stand-ins that the scripts in this folder start, into target/review.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review cargo build --release --locked --offline \
    --manifest-path review/standins/Cargo.toml
