#!/bin/bash
# Supervises one server: restarts it when it exits, in version V if its exit code is 100 + V.
# Usage: supervise.sh FOLDER VERSION, where FOLDER/V/myrtlecroft is the program of version V (0 to 99). The current
# version is saved in FOLDER/version, which takes precedence over VERSION. A server that exits with 0 was told to stop
# and is not restarted.
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
  # A signal interrupts `wait` while the server is still running.
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
    sleep 1 # it crashed, or the version does not exist: restart the current version after a pause
  fi
done
