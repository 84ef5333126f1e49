#!/usr/bin/env bash
# Checks the model of claims, tombstones and restarts, and that each removed guard gives a counterexample.
source "$(dirname "$0")/verify.bash"
verify claims holds
for switch in NO_TOMBSTONE NO_BOOT_CHECK REBIND_WITHOUT_PROOF NO_WATERMARK NO_REPEAT_MARK; do
  verify claims fails "$switch"
done
