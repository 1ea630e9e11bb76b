#!/bin/bash
# Keeps one node running, in the version that it asks for: exit code 100 + V says 'start me in version V'.
# Usage: supervise.sh FOLDER VERSION, where FOLDER/V/myrtlecroft is the program of version V (0 to 99). The version in
# force is kept in FOLDER/version, and counts before the one given. A node that ends with 0 has been told to stop.
set -u
folder=$1
version=$(cat "$folder/version" 2>/dev/null || echo "$2")
child=0
stopping=0
trap 'stopping=1; ((child)) && kill -TERM "$child"' TERM INT
while ((!stopping)); do
  MYRTLECROFT_RELEASE=$version "$folder/$version/myrtlecroft" &
  child=$!
  wait "$child"
  code=$?
  # A signal ends the wait before the node has ended.
  while ((code > 128)) && kill -0 "$child" 2>/dev/null; do
    wait "$child"
    code=$?
  done
  child=0
  if ((code == 0)); then exit 0; fi
  if ((code >= 100 && code < 200)) && [[ -x $folder/$((code - 100))/myrtlecroft ]]; then
    version=$((code - 100))
    echo "$version" > "$folder/version.next" && mv "$folder/version.next" "$folder/version"
  elif ((!stopping)); then
    sleep 1 # it crashed, or there is no such version: the one before, but not in haste
  fi
done
