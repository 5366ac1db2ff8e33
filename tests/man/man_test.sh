#!/usr/bin/env bash
# Compares a committed manual page with the one that the program prints.  The
# test guards against a changed setting whose page was not generated again.
set -uo pipefail
program=$1 page=$2
if ! diff -u "$page" <("$program" --man); then
  echo "generate it again: $(basename "$program") --man >man/$(basename "$page")"
  exit 1
fi
