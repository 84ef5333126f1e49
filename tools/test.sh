#!/usr/bin/env bash
# Installs what is missing, builds with warnings as errors, runs the formatter check, the linter, every test program,
# the stateful fuzzing with a fixed seed and the model checks. The last line is `N passed, N failed`.
set -euo pipefail
cd "$(dirname "$0")/.."
export RHUBARBARCH_SEED=${RHUBARBARCH_SEED:-20261204}
echo "seed: $RHUBARBARCH_SEED"
bash tools/install.sh
passed=0
failed=0
log=$(mktemp -d)
trap 'rm -rf "$log"' EXIT

# Runs one step and counts it once.
step() {
  local name=$1
  shift
  local started=$SECONDS
  if "$@" >"$log/out" 2>&1; then
    passed=$((passed + 1))
    echo "ok   $name ($((SECONDS - started)) s)"
  else
    failed=$((failed + 1))
    echo "FAIL $name ($((SECONDS - started)) s)"
    tail -n 60 "$log/out"
  fi
}

# Prints the failed tests of the last program that KNOWN-RED.txt lists as `test: GROUP.NAME`.
known_red_tests() {
  sed -nE 's/.*error: Failure in TEST\(([A-Za-z0-9_]+), *([A-Za-z0-9_]+)\).*/test: \1.\2/p' "$log/out" |
    grep -xF -f <(grep -E '^test: ' KNOWN-RED.txt 2>/dev/null) || true
}

# Runs one CppUTest program and counts its tests. Failures of known red tests are printed and count as neither.
unit() {
  local program=$1 ran bad known
  timeout 900 "$program" -v >"$log/out" 2>&1 || true
  ran=$(grep -cE '^(IGNORE_)?TEST\(' "$log/out" || true)
  bad=$(grep -cE 'error: Failure in' "$log/out" || true)
  known_red_tests | sed 's/^/known red, /'
  known=$(known_red_tests | wc -l)
  if [ "$known" -gt 0 ] && [ "$known" -eq "$bad" ]; then
    passed=$((passed + ran - bad))
    echo "$(basename "$program"): $((ran - bad)) passed, 0 failed, $known known red"
    return
  fi
  if ! tail -n 3 "$log/out" | grep -qE '^OK \('; then
    [ "$bad" -gt 0 ] || bad=1
    grep -A 8 -E 'error: Failure in|^Errors|terminate|signal' "$log/out" | head -n 80 || tail -n 40 "$log/out"
  fi
  [ "$ran" -ge "$bad" ] || ran=$bad
  passed=$((passed + ran - bad))
  failed=$((failed + bad))
  echo "$(basename "$program"): $((ran - bad)) passed, $bad failed"
}

step build bash tools/build.sh
step format bash tools/format.sh --check
step lint bash tools/lint.sh
if [ -e KNOWN-RED.txt ]; then
  sed -n 's/^lint: /known red, lint: /p' KNOWN-RED.txt
fi
for program in build/test_*; do
  [ -x "$program" ] && [ ! -d "$program" ] && unit "$program"
done
for program in build/fuzz_*; do
  [ -x "$program" ] && [ ! -d "$program" ] && step "$(basename "$program")" timeout 900 "$program"
done
for model in model/*.sh; do
  [ -e "$model" ] && step "$model" timeout 900 bash "$model"
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
