#!/bin/bash
# Checks that docs/ARCHITECTURE.md and docs/glossary.md are up to date: each path in backticks exists, and each type,
# constant or function in backticks occurs in the sources.
set -u
cd "$(dirname "$0")/.." || exit 1
failed=0
fail() {
  echo "FAILED: $*"
  failed=1
}

sources=$(mktemp)
trap 'rm -f "$sources"' EXIT
cat $(find include src -name '*.h' -o -name '*.cpp' -o -name '*.proto') | grep -v '^ *//' > "$sources"

# Checks that every part of a qualified name a::b occurs in the sources.
check_identifier() {
  local part
  for part in ${2//::/ }; do
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
      *[!A-Za-z0-9_:]* | make | release) ;;  # commands and settings
      *[A-Z]*[a-z]* | k[A-Z]* | *_*) check_identifier "$page" "$name" ;;
    esac
  done < <(grep -o '`[^`]*`' "$page" | tr -d '`' | sort -u)
  [ "$count" -ge "$2" ] || fail "$page: only $count names were found"
}

# Checks the check: a page that mentions a path or identifier that does not exist must fail.
for missing in '`src/no_such_file.cpp`' '`NoSuchType`' '`Request::no_such_field`' '`kNoSuchConstant`'; do
  page=$(mktemp)
  echo "$missing" > "$page"
  (failed=0; check_page "$page" 1 > /dev/null; exit $failed) && fail "a page that names $missing passes"
  rm -f "$page"
done

check_page docs/ARCHITECTURE.md 60
check_page docs/glossary.md 30
exit $failed
