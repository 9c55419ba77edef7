#!/bin/sh
# Builds the stand-ins of all cases, which are programs of their own, into bin/review.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin/review
for case in review/[0-9]; do
  go build -o "bin/$case" "./$case"
done
