#!/usr/bin/env bash
# Clients send two safe requests on one connection and leave before the first is answered.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Run review/build.sh first.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/trial ] && [ -x target/dandelionfield ] || { echo "build first" >&2; exit 2; }
exec target/review/trial gone review/5/record.txt
