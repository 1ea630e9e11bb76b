#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into build/review-2, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for case in review/{6,7,8,9,10}/case.cpp; do
  [[ -f $case ]] || continue
  number=$(basename "$(dirname "$case")")
  "${CXX:-c++}" -std=c++20 -O1 -g -Wall -o "build/review-2/case-$number" "$case"
done
