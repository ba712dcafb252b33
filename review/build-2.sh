#!/bin/sh
# Builds the stand-ins of the second review; the build of deploy/system.toml comes first.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand-in review/stand-in-2/main.rs
