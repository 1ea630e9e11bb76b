#!/bin/bash
# Passing a simdjson element where an object is expected must not compile: with simdjson's implicit conversions it
# would compile and throw at run time.
# Arguments: the sample file, the compiler, and the flags that all code that reads JSON is compiled with.
set -u
sample=$1
shift
compile=("$@" -std=c++20 -fsyntax-only)
if ! "${compile[@]}" "$sample"; then
  echo "FAILED: the right line does not compile"
  exit 1
fi
if compiler_output=$("${compile[@]}" -DELEMENT_FOR_OBJECT "$sample" 2>&1); then
  echo "FAILED: an element compiles where an object is wanted"
  exit 1
fi
if ! grep -q 'number(value, "core_use")' <<< "$compiler_output"; then
  echo "FAILED: something else does not compile:"
  echo "$compiler_output"
  exit 1
fi
