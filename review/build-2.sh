#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into build/review-2, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
"${CXX:-c++}" -std=c++20 -O1 -g -Wall -o build/review-2/case-6 review/6/case.cpp
cmake -S review/rig-2 -B build/review-2/full
cmake --build build/review-2/full -j4 --target case-7
