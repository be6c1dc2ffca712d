#!/bin/sh
# Build every stand-in that the scripts of the cases start, into target/review.
# Run it at the root of the repository, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp -r src/rosepath_standins review/support/review_support target/review/
python3 -m compileall -q target/review
