# Shared by the model scripts. Usage: `verify NAME holds|fails [SWITCH]`, run from the folder of the models.
# Builds the verifier of NAME.pml in a temporary folder and checks the result of the full search.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

verify() {
  local name=$1 expected=$2 switch=${3:-} source=$PWD/$1.pml label=${3:-all guards} define=() result
  [ -z "$switch" ] || define=("-D$switch")
  (
    cd "$work"
    rm -f pan*
    spin "${define[@]}" -a "$source" >spin.out
    "${CC:-cc}" -O2 -w -DSAFETY -DMEMLIM=2000 -o pan pan.c
    ./pan -m200000 >pan.out 2>&1 || true
  )
  if grep -qE 'out of memory|max search depth too small|Search not completed' "$work/pan.out" &&
    ! grep -q 'assertion violated' "$work/pan.out"; then
    result=incomplete
  elif grep -q 'assertion violated' "$work/pan.out"; then
    result=fails
  elif grep -q 'errors: 0' "$work/pan.out"; then
    result=holds
  else
    result=broken
  fi
  echo "$name ($label): $result, expected $expected, $(grep -oE '[0-9.e+]+ states, stored' "$work/pan.out" || true)"
  [ "$result" = "$expected" ] || { tail -n 30 "$work/pan.out"; exit 1; }
}
