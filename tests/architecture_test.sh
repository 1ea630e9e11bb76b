#!/bin/bash
# Checks that docs/ARCHITECTURE.md, docs/glossary.md and docs/endings.md are up to date: each path in backticks exists,
# and each type, constant, function or test in backticks occurs in the sources.
set -u
cd "$(dirname "$0")/.." || exit 1
failed=0
fail() {
  echo "FAILED: $*"
  failed=1
}

sources=$(mktemp)
trap 'rm -f "$sources"' EXIT
read_sources() { cat $(find "$@" -name '*.h' -o -name '*.cpp' -o -name '*.proto') | grep -v '^ *//' > "$sources"; }
read_sources include src

# Checks that every part of a qualified name a::b, or of a test's name a.b, occurs in the sources.
check_identifier() {
  local part name=${2//::/ }
  for part in ${name//./ }; do
    grep -qwF -- "$part" "$sources" || fail "$1 names $2, and $part is not in the sources"
  done
}

check_page() {
  local page=$1 name count=0
  while IFS= read -r name; do
    count=$((count + 1))
    case $name in
      src/* | include/* | tests/* | docs/* | measure | standin | incidents | */)
        [ -e "$name" ] || fail "$page names $name, which does not exist" ;;
      *Test.[A-Z]*) check_identifier "$page" "$name" ;;
      *[!A-Za-z0-9_:]* | make | release) ;;  # commands and settings
      *[A-Z]*[a-z]* | k[A-Z]* | *_*) check_identifier "$page" "$name" ;;
    esac
  done < <(grep -o '`[^`]*`' "$page" | tr -d '`' | sort -u)
  [ "$count" -ge "$2" ] || fail "$page: only $count names were found"
}

# Checks the check: a page that mentions a path or identifier that does not exist must fail.
for missing in '`src/no_such_file.cpp`' '`NoSuchType`' '`Request::no_such_field`' '`kNoSuchConstant`' \
  '`ServiceTest.NoSuchTest`'; do
  page=$(mktemp)
  echo "$missing" > "$page"
  (failed=0; check_page "$page" 1 > /dev/null; exit $failed) && fail "a page that names $missing passes"
  rm -f "$page"
done

check_page docs/ARCHITECTURE.md 60
check_page docs/glossary.md 30
read_sources include src tests  # the page of endings names a test for each
check_page docs/endings.md 70
exit $failed
