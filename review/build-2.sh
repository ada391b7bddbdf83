#!/bin/bash
# Builds the stand-ins and drivers of the second review's scripts, the project's own stand-ins among them. Needs no network
# after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
