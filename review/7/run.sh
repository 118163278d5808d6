#!/bin/sh
# CONFIG and DRAIN: the machines that read the platform's list are cut off from the store.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/drumusher ] && [ -x target/release/review-cases ] || exit 2
exec target/release/review-cases stale-after-cuts review/7/record.txt
