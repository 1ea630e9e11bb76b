#!/bin/sh
# Runs one case: run_case.sh FOLDER. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
review=$(cd "$(dirname "$0")" && pwd)
folder=$(cd "$1" && pwd)
program="$review/build/case$(basename "$folder")"
[ -x "$program" ] || sh "$review/build.sh" || exit 2
[ -x "$program" ] || exit 2
cd "$review/.." || exit 2
[ -f "$review/build/programs" ] && REVIEW_PROGRAMS=$(cat "$review/build/programs") && export REVIEW_PROGRAMS
exec "$program" "$PWD" "$folder"
