#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. Needs rustc and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for n in 6 7 8 9 10; do
    [ -f "review/$n/case.rs" ] || continue
    rustc --edition 2021 -O -o "target/review-2/case-$n" "review/$n/case.rs"
done
