#!/usr/bin/env bash
# Runs traces against dandelionfield and against the naive relay, with the same
# stand-ins and seed, and prints one table as markdown.
#
#   scripts/bench.sh [--trace NAME]... [--firm NAME]... [--mesh NAME]... [--seed N]
#
# Traces: surge slow both frozen platform centre. Meshes: naive dandelionfield.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/common.sh

traces=() firms=() meshes=() seed=1
while [ $# -gt 0 ]; do
  case $1 in
    --trace) traces+=("$2") ;;
    --firm) firms+=("$2") ;;
    --mesh) meshes+=("$2") ;;
    --seed) seed=$2 ;;
    *)
      echo "usage: scripts/bench.sh [--trace NAME]... [--firm NAME]... [--mesh NAME]... [--seed N]" >&2
      exit 2
      ;;
  esac
  shift 2
done
[ ${#traces[@]} -gt 0 ] || traces=(surge slow both frozen platform centre)
[ ${#firms[@]} -gt 0 ] || firms=(cannelle kiudvali)
[ ${#meshes[@]} -gt 0 ] || meshes=(naive dandelionfield)
reports=run/bench
mkdir -p "$reports"
trap stop_all EXIT
trap 'exit 130' INT TERM

# signal_centre SIGNAL: sends the signal to the processes of the second data centre.
signal_centre() {
  local name
  for name in "${!pid_of[@]}"; do
    case $name in
      *-2) kill "-$1" "${pid_of[$name]}" ;;
    esac
  done
}

# lose_centre: pauses the second data centre from second 6 to 14 of the trace.
lose_centre() {
  sleep 6
  signal_centre STOP
  sleep 8
  signal_centre CONT
}

# run_one FIRM MESH TRACE
run_one() {
  local firm=examples/$1 lost=""
  out=run/$1
  rm -rf "$out"
  bin/fieldlab layout --firm "$firm" --out "$out" --seed "$seed" >/dev/null
  start_targets
  case $2 in
    naive) start_naive ;;
    dandelionfield) start_nodes "$firm" >&2 ;;
  esac
  sleep 4 # the stand-ins are cold for their first 3 s
  if [ "$3" = centre ]; then
    lose_centre &
    lost=$!
  fi
  bin/fieldlab load --config "$out/load-$3.yaml" --json >"$reports/$1-$2-$3-$seed.json"
  if [ -n "$lost" ]; then
    wait "$lost"
  fi
  stop_all
}

for firm in "${firms[@]}"; do
  for trace in "${traces[@]}"; do
    for mesh in "${meshes[@]}"; do
      echo "== $firm $trace $mesh seed $seed" >&2
      run_one "$firm" "$mesh" "$trace"
    done
  done
done

files=()
for firm in "${firms[@]}"; do
  for trace in "${traces[@]}"; do
    for mesh in "${meshes[@]}"; do
      files+=("$reports/$firm-$mesh-$trace-$seed.json")
    done
  done
done
bin/fieldlab table "${files[@]}" | tee "$reports/table-$seed.md"
