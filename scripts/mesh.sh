#!/usr/bin/env bash
# Runs one firm's mesh on loopback until it is interrupted, for trying it by hand.
#
#   scripts/mesh.sh [cannelle|kiudvali]
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/common.sh

firm=${1:-cannelle}
out=run/$firm
trap stop_all EXIT
trap 'exit 130' INT TERM

write_layout "$firm"
start_stand_ins
start_nodes "$firm"
for file in "$out"/node-*.yaml; do
  echo "$(setting "$file" name): callers $(setting "$file" caller_listen), operators $(setting "$file" admin_listen)"
done
echo "operator token: $(setting "$(ls "$out"/node-*.yaml | head -n 1)" operator_token); Ctrl-C ends the mesh"
wait
