#!/usr/bin/env bash
# Builds the stand-ins of all cases, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
read -ra flags <<<"$(pkg-config --cflags --libs glib-2.0 jansson)"
gcc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -Werror -o target/review/rig \
  review/rig/*.c "${flags[@]}"
