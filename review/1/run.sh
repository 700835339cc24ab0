#!/bin/sh
# Writes record.txt beside this file; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review/case ]; then
    echo "review/build.sh has not run" >&2
    exit 2
fi
exec target/review/case stale-refusal review/1/record.txt
