#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and later.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"${CC:-cc}" -std=gnu11 -O1 -Wall -Wextra -o target/review-2/rig review/rig-2/*.c
