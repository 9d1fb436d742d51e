#!/usr/bin/env bash
# Shows one firm's mesh on loopback in a calm spell, in a surge with a slowed
# deep service, and in calm again. Takes under a minute and leaves nothing running.
#
#   scripts/demo.sh [cannelle|kiudvali]
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/common.sh

run_firm "${1:-cannelle}"
sleep 3 # the stand-ins are cold for their first 3 s
bin/fieldlab load --config "$out/load-demo.yaml"
