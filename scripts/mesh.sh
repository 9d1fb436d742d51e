#!/usr/bin/env bash
# Runs one firm's mesh on loopback until it is interrupted, for trying it by hand.
#
#   scripts/mesh.sh [cannelle|kiudvali]
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/common.sh

run_firm "${1:-cannelle}"
for file in "$out"/node-*.yaml; do
  echo "$(setting "$file" name): callers $(setting "$file" caller_listen), operators $(setting "$file" admin_listen)"
done
echo "operator token: $(setting "$(first_node)" operator_token); Ctrl-C ends the mesh"
wait
