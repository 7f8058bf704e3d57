#!/bin/sh
# Shows the case; see claim.txt. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/EndlessBody.class ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec java -Xmx600m -cp target/review-2 EndlessBody review/8
