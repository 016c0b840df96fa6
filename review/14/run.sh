#!/usr/bin/env bash
# Plays the case; see claim.txt. Needs the build of the deploy file and review/build-3.sh.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
REPO=$(cd "$folder/../.." && pwd) || exit 2
RUN=$(sed -n 's/^run *= *"\(.*\)"/\1/p' "$REPO/deploy/system.toml" | head -1)
export REPO RUN
[ -x "$REPO/build/review-3-lab" ] && [ -x "$REPO/${RUN%% *}" ] || { echo "not built" >&2; exit 2; }
exec timeout --kill-after=5 115 "$REPO/build/review-3-lab" queued "$folder"
