#!/usr/bin/env bash
# Checks the model of replication, and that each removed guard gives a counterexample.
set -euo pipefail
model=$(cd "$(dirname "$0")" && pwd)/replication.pml
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder"

# Runs the verifier with the given -D options and prints `errors: N`; fails when it does not finish.
errors() {
  spin -a "$@" "$model" >spin.log 2>&1 || { cat spin.log >&2; return 1; }
  gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=1800 -o pan pan.c
  ./pan -m1000000 >pan.log 2>&1 || true
  if grep -qE 'max search depth too small|out of memory|reached -DMEMLIM' pan.log; then
    cat pan.log >&2
    return 1
  fi
  grep -oE 'errors: [0-9]+' pan.log
}

expect() {
  local wanted=$1 result
  shift
  result=$(errors "$@")
  echo "${*:-no options}: $result, $(grep -oE '[0-9]+ states, stored' pan.log || true)"
  case $wanted in
    holds) [ "$result" = "errors: 0" ] ;;
    fails) [ "$result" != "errors: 0" ] ;;
  esac
}

lost=(-DMAXTERM=3 -DMAXLEN=4 -DLOSSES=1)
terms=(-DMAXTERM=5 -DMAXLEN=2 -DLOSSES=0)
expect holds "${lost[@]}"
expect holds "${terms[@]}"
expect fails "${lost[@]}" -DSAME_IDENTITY
expect fails "${lost[@]}" -DCOUNT_LEARNER_VOTES
expect fails "${lost[@]}" -DCOUNT_LEARNER_ACKS
expect fails "${terms[@]}" -DCOMMIT_OLD_TERMS
