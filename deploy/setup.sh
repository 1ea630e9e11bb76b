#!/bin/bash
# Installs the missing Debian packages of a full build with tests and lint. Waits if another installation holds the
# package manager's lock.
set -euo pipefail
needed=(g++ cmake pkg-config libsimdjson-dev libevent-dev libspdlog-dev libgtest-dev libconfig++-dev libxxhash-dev
        librapidcheck-dev libgrpc++-dev protobuf-compiler-grpc libprotobuf-dev libcli11-dev libhdf5-dev libraft-dev
        libboost-dev libncurses-dev clang-format clang-tidy)
missing=()
for package in "${needed[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if ((${#missing[@]})); then
  root=()
  if ((EUID != 0)); then root=(sudo); fi
  "${root[@]}" apt-get update -q -o DPkg::Lock::Timeout=600
  "${root[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -q -o DPkg::Lock::Timeout=600 "${missing[@]}"
fi
