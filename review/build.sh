#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts. They depend on the project's own stand-ins and on libraries that the
# project's build has fetched, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")/driver"
cargo build --release --locked --offline
