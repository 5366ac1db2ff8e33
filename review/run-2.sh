#!/usr/bin/env bash
# run-2.sh NUMBER CASE: runs one case of the rig; see review/NUMBER/claim.txt.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/.." || exit 2
[ -x target/ragwortyoke ] && [ -x target/review-2/rig ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 target/review-2/rig "$2" "${TROUBLE:-1}" "$folder" >"review/$1/record.txt"
case $? in
  0) exit 0 ;;
  1) exit 1 ;;
  *) exit 2 ;;
esac
