#!/bin/bash
# Each target of the Makefile finds what it builds, whatever form was configured before. Runs the very configure
# commands that make prints, one target's after the other's in one scratch folder, and asks for the targets that then
# exist; nothing is compiled.
set -u
cd "$(dirname "$0")/.." || exit 1
unset MAKEFLAGS MAKELEVEL MFLAGS
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
failed=0
fail() {
  echo "FAILED: $*"
  failed=1
}

# What a target of the Makefile would run, a command a line.
commands_of() { make -n "$1" | sed -e ':join' -e '/\\$/{N;s/\\\n//;b join' -e '}'; }

configure() {
  local commands
  commands=$(grep '^cmake -B ' <<< "$1" | sed -E "s|^cmake -B [^ ]+|cmake -B $scratch/build|")
  if [ -z "$commands" ]; then
    fail "make $target configures nothing"
  elif ! bash -ec "$commands" > "$scratch/log" 2>&1; then
    fail "make $target can't be configured:"
    cat "$scratch/log"
  fi
}

# Configures as the Makefile's target does. What its commands build by name must exist then, and what is wanted
# besides; what stands after "not" must not.
after() {
  local target=$1 commands there name no=no
  shift
  commands=$(commands_of "$target")
  configure "$commands"
  there=$(cmake --build "$scratch/build" --target help | sed 's/^\.\.\. //; s/ .*//')
  for name in $(grep -oP '^cmake --build \S+ .*--target \K.*' <<< "$commands") "$@"; do
    if [ "$name" = not ]; then
      no=a
    elif [ $no = no ]; then
      grep -qxF -- "$name" <<< "$there" || fail "after make $target there is no target $name"
    else
      grep -qxF -- "$name" <<< "$there" && fail "after make $target there is a target $name"
    fi
  done
}

node=(myrtlecroft myrtlecroft_wirehost not myrtlecroft-control demo myrtlecroft_test)
all=(myrtlecroft myrtlecroft-control myrtlecroft-store)
for target in build demo run; do
  after node "${node[@]}"
  after "$target" "${all[@]}" not myrtlecroft_test
done
after node "${node[@]}"
after test "${all[@]}" myrtlecroft_wire_test
after build "${all[@]}" not myrtlecroft_test
after node "${node[@]}"
after measure-store "${all[@]}" not myrtlecroft_test
after node "${node[@]}"
after sanitize "${all[@]}"
exit $failed
