#!/usr/bin/env bash
# Installs the missing packages, builds the project, checks the format of the
# sources, runs the linter, and runs all tests without and with the sanitizers.
set -uo pipefail
cd "$(dirname "$0")/.."
jobs=${JOBS:-8}
passed=0
failed=0

# step NAME COMMAND...: runs one step and counts whether it passed or failed.
step() {
  local name=$1
  shift
  echo "== $name"
  if "$@"; then passed=$((passed + 1)); else failed=$((failed + 1)); echo "FAILED: $name"; fi
}

sources() { git ls-files -co --exclude-standard '*.c' '*.h'; }

check_format() { sources | xargs clang-format --dry-run --Werror; }

check_tidy() {
  sources | grep '\.c$' | xargs -P "$jobs" -n 1 clang-tidy --quiet -p build 2>/dev/null
}

build() {
  local dir=$1
  shift
  cmake -S . -B "$dir" -G Ninja "$@" >"$dir.log" 2>&1 || { cat "$dir.log"; return 1; }
  cmake --build "$dir" -j "$jobs" >"$dir.log" 2>&1 || { tail -60 "$dir.log"; return 1; }
}

# Prints the names of the tests listed in KNOWN-RED.txt ("test: NAME ..."),
# which run_tests reports and excludes.
known_red() { [ -f KNOWN-RED.txt ] && sed -n 's/^test: *\([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt; }

run_tests() {
  local dir=$1 red exclude=()
  red=$(known_red | paste -sd'|')
  if [ -n "$red" ]; then
    echo "passed over (KNOWN-RED.txt): $red"
    exclude=(-E "^($red)\$")
  fi
  ctest --test-dir "$dir" --output-on-failure --no-tests=error -j "$jobs" "${exclude[@]}"
}

bash scripts/install-deps.sh || exit 1
step "build" build build
step "format" check_format
step "lint" check_tidy
step "tests" run_tests build
step "build with sanitizers" build build-asan -DRGY_SANITIZE=ON -DCMAKE_BUILD_TYPE=Debug
step "tests with sanitizers" run_tests build-asan
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
