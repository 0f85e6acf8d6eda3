#!/usr/bin/env bash
# Runs the case after the build of deploy/system.toml and review/build-3.sh. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/filbertmill ] || [ ! -x target/review/caserun ]; then
  echo "build first: the build line of deploy/system.toml, then review/build-3.sh" >&2
  exit 2
fi
exec target/review/caserun recover "$here"
