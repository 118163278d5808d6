#!/bin/sh
# Builds the stand-ins and clients of the review's scripts.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stand-ins/Cargo.toml --target-dir target
