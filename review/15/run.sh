#!/usr/bin/env bash
# Plays case 15; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/limpetlever-node ] || [ ! -x target/review-3/review3 ]; then
  echo "build target/limpetlever-node with the command of deploy/system.toml, then run review/build-3.sh" >&2
  exit 2
fi
exec target/review-3/review3 directory "review/15/record.txt"
