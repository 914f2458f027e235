#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the trouble out. Needs the build of the deploy file and review/build.sh. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/boragecoursed review/bin/stand; do
  [ -x "$program" ] || { echo "$program is missing: build first" >&2; exit 2; }
done
exec review/bin/stand event review/5
