#!/usr/bin/env bash
# Installs the build into a temporary prefix, builds the example against it
# with pkg-config only, and runs the example.  The test guards against public
# headers that are not installed and against a pkg-config file that points
# outside the prefix.
set -euo pipefail
cmake=$1 build=$2 libdir=$3 compiler=$4 example=$5
shift 5
prefix=$(mktemp -d)
trap 'rm -rf "$prefix"' EXIT

"$cmake" --install "$build" --prefix "$prefix" >/dev/null
export PKG_CONFIG_PATH=$prefix/$libdir/pkgconfig
read -ra compile <<<"$(pkg-config --cflags ragwortyoke)"
read -ra link <<<"$(pkg-config --libs ragwortyoke)"
case " ${compile[*]} " in
  *" -I$prefix/"*) ;;
  *) echo "the pkg-config file does not point into the prefix: ${compile[*]}"; exit 1 ;;
esac
"$compiler" -std=gnu11 -Wall -Wextra -Werror "$@" "${compile[@]}" "$example" \
  -o "$prefix/embed" "${link[@]}"
"$prefix/embed"
