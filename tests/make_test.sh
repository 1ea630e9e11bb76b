#!/bin/bash
# Checks that each Makefile target configures the CMake targets that it builds, regardless of the configuration that
# the build folder had before. Runs the configure commands that `make -n` prints, one Makefile target after another in
# one scratch folder, and lists the CMake targets that exist afterwards. Nothing is compiled.
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

# Prints the commands that a Makefile target would run, one per line.
commands_of() { make -n "$1" | sed -e ':join' -e '/\\$/{N;s/\\\n//;b join' -e '}'; }

# Runs the configure commands among the given commands. Reads the caller's variable `target`.
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

# Configures as the Makefile target does. Afterwards the CMake targets that its commands build by name and those
# listed before the argument "not" must exist; those listed after "not" must not exist.
check_targets_after() {
  local target=$1 commands existing name expect_missing=no
  shift
  commands=$(commands_of "$target")
  configure "$commands"
  existing=$(cmake --build "$scratch/build" --target help | sed 's/^\.\.\. //; s/ .*//')
  for name in $(grep -oP '^cmake --build \S+ .*--target \K.*' <<< "$commands") "$@"; do
    if [ "$name" = not ]; then
      expect_missing=yes
    elif [ $expect_missing = no ]; then
      grep -qxF -- "$name" <<< "$existing" || fail "after make $target there is no target $name"
    else
      grep -qxF -- "$name" <<< "$existing" && fail "after make $target there is a target $name"
    fi
  done
}

server_targets=(myrtlecroft myrtlecroft_wirehost not myrtlecroft-control demo myrtlecroft_test)
program_targets=(myrtlecroft myrtlecroft-control myrtlecroft-store)
for target in build demo run; do
  check_targets_after node "${server_targets[@]}"
  check_targets_after "$target" "${program_targets[@]}" not myrtlecroft_test
done
check_targets_after node "${server_targets[@]}"
check_targets_after test "${program_targets[@]}" myrtlecroft_wire_test
check_targets_after build "${program_targets[@]}" not myrtlecroft_test
check_targets_after node "${server_targets[@]}"
check_targets_after measure-store "${program_targets[@]}" not myrtlecroft_test
check_targets_after node "${server_targets[@]}"
check_targets_after sanitize "${program_targets[@]}"
exit $failed
