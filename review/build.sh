#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the cases, offline, into the project's target folder.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/lab/Cargo.toml --target-dir target
