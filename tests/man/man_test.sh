#!/usr/bin/env bash
# Guards against a setting whose manual page was not generated again.
set -uo pipefail
program=$1 page=$2
if ! diff -u "$page" <("$program" --man); then
  echo "generate it again: $(basename "$program") --man >man/$(basename "$page")"
  exit 1
fi
