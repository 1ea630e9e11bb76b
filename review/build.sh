#!/bin/sh
# Builds the stand-ins and drivers of the review's tests into review/build, where they are older than their sources.
# Cases 1 and 2 need a C++20 compiler only. Case 3 links the project's own stand-in for a proxy and uses the control
# service: they are taken from build/ where `make build` made them there, and are else built into review/build/all.
# With the number of a case, builds what that case needs.
set -e
cd "$(dirname "$0")"
mkdir -p build
CXX=${CXX:-c++}
FLAGS="-std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers -pthread -Irig"

# newer PROGRAM SOURCE...: whether the program is newer than all sources.
newer() {
  program=$1
  shift
  for source in "$@"; do [ "$program" -nt "$source" ] || return 1; done
}

for test in 1 2; do
  case "${1:-$test}" in "$test") ;; *) continue ;; esac
  newer "build/case$test" "$test/test.cpp" rig/rig.h || "$CXX" $FLAGS "$test/test.cpp" -o "build/case$test"
done
case "${1:-3}" in 3) ;; *) exit 0 ;; esac
made=$PWD/../build
if [ ! -x "$made/myrtlecroft-control" ] || [ ! -f "$made/libmyrtlecroft_standin.a" ] ||
   grep -q '^MYRTLECROFT_PLATFORM:BOOL=ON' "$made/CMakeCache.txt"; then
  made=$PWD/build/all/build
  cmake -S .. -B "$made" -DCMAKE_BUILD_TYPE=Release -DMYRTLECROFT_PLATFORM=OFF > build/all.log
  cmake --build "$made" -j4 --target myrtlecroft myrtlecroft-control myrtlecroft_standin >> build/all.log
fi
echo "$made" > build/programs
newer build/case3 3/test.cpp rig/rig.h "$made/libmyrtlecroft_standin.a" "$made/libmyrtlecroft_proto.a" ||
  "$CXX" $FLAGS -I../src -I../include -I../standin -isystem "$made/proto" 3/test.cpp -o build/case3 \
    "$made/libmyrtlecroft_standin.a" "$made/libmyrtlecroft_proto.a" $(pkg-config --libs grpc++ protobuf libxxhash)
