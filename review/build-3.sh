#!/bin/sh
# Builds the stand-ins of cases 11 to 15 into target/review-3. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/stand-in-3/case_*.rs; do
    name=$(basename "$source" .rs)
    rustc --edition 2024 -O --crate-name "$name" -o "target/review-3/$name" "$source"
done
