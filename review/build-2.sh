#!/bin/sh
# Builds the stand-ins of cases 6 to 10, after the build of the deploy file. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 -o target/review-2/standin review/standin-2/main.rs
