#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/4 to review/8 start. They use the standard library
# alone. The gateway itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
  --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
