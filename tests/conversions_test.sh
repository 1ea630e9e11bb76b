#!/bin/bash
# An element given where an object is wanted must not compile: simdjson would convert it and throw at run time.
# Arguments: the sample, the compiler, and the flags that all code which reads JSON is compiled with.
set -u
sample=$1
shift
compile=("$@" -std=c++20 -fsyntax-only)
if ! "${compile[@]}" "$sample"; then
  echo "FAILED: the right line does not compile"
  exit 1
fi
if complaint=$("${compile[@]}" -DELEMENT_FOR_OBJECT "$sample" 2>&1); then
  echo "FAILED: an element compiles where an object is wanted"
  exit 1
fi
if ! grep -q 'number(value, "core_use")' <<< "$complaint"; then
  echo "FAILED: something else does not compile:"
  echo "$complaint"
  exit 1
fi
