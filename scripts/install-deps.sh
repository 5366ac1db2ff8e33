#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need and that are
# missing.
set -euo pipefail
packages=(gcc libc6-dev cmake ninja-build pkg-config clang-format clang-tidy clang
          libuv1-dev libzmq3-dev libcmocka-dev libglib2.0-dev libcoap3-dev
          curl libcurl4-openssl-dev libmicrohttpd-dev libhttp-parser-dev libmsgpack-dev
          libjansson-dev libxxhash-dev libsodium-dev)
missing=()
for p in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q 'install ok installed' || missing+=("$p")
done
[ ${#missing[@]} -eq 0 ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -q
apt-get install -y -q --no-install-recommends "${missing[@]}"
