#!/usr/bin/env bash
# Streams pause at their engines while their gateway is stopped; see claim.txt. TROUBLE=0 leaves out the stop and the pauses.
cd "$(dirname "$0")/../.."
[ -f target/primrosesill ] && [ -f target/review/SilentStream.class ] || exit 2
timeout 118 java -cp target/review SilentStream review/4
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
