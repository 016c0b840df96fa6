#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and
# review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mangostandd ] && [ -x review/bin/case5 ] || { echo "build first"; exit 2; }
exec review/bin/case5 review/5 target/mangostandd
