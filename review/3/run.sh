#!/usr/bin/env bash
# A server leaves while all gateways start again after a loss of power; see claim.txt. TROUBLE=0 leaves out the loss of power.
cd "$(dirname "$0")/../.."
[ -f target/primrosesill ] && [ -f target/review/RemovedServer.class ] || exit 2
timeout 118 java -cp target/review RemovedServer review/3
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
