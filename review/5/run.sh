#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review-2/standins -a -x target/release/ledgespool-entry || exit 2
exec target/review-2/standins takeover review/5 "${TROUBLE:-1}"
