#!/usr/bin/env bash
# Early answers without a length, some of them reset on the way; see claim.txt. TROUBLE=0 leaves out the resets.
cd "$(dirname "$0")/../.."
[ -f target/primrosesill ] && [ -f target/review/EarlyAnswer.class ] || exit 2
timeout 118 java -cp target/review EarlyAnswer review/1
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
