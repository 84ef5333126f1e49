#!/usr/bin/env bash
# Checks the model of grants, charges and fencing, and that each removed guard gives a counterexample.
source "$(dirname "$0")/verify.bash"
verify grants holds
for switch in RETURN_AT_EXPIRY FORGET_LIVE_SESSIONS CHARGE_TWICE NO_DOUBT; do
  verify grants fails "$switch"
done
