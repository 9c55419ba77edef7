#!/usr/bin/env bash
# Builds the programs of the second review's cases, each with its stand-ins, into bin/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin/review-2
for folder in review/6 review/7 review/8 review/9 review/10; do
  [ -d "$folder" ] || continue
  go build -o "bin/review-2/$(basename "$folder")" "./$folder"
done
