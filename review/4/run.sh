#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out. Needs review/build-2.sh.
set -u
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$folder/../.." || exit 2
[[ -x target/review-2/review-harness ]] || exit 2
exec target/review-2/review-harness repeated-job "$folder/record.txt"
