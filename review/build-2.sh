#!/bin/sh
# Builds the stand-ins of the second review's scripts, after the build of the deploy file. Needs no network.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml --target-dir target
