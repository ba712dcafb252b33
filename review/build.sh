#!/usr/bin/env bash
# Builds the stand-ins of all cases, one program a case, with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.rs; do
  number="$(basename "$(dirname "$source")")"
  rustc --edition 2024 -O -o "target/review/case-$number" "$source"
done
