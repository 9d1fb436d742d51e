#!/usr/bin/env bash
# Runs traces against dandelionfield and against the naive relay, with the same
# stand-ins and seed, and prints one table as markdown.
#
#   scripts/bench.sh [--trace NAME]... [--firm NAME]... [--mesh NAME]... [--seed N]...
#
# The firms and meshes of one trace run side by side, each on a network of its
# own: FIELDLAB_NETWORK (127.0.1 by default) and the ones after it.
#
# Traces: surge slow both frozen platform centre added. Meshes: naive
# dandelionfield. The trace "added" measures the time that a mesh adds to a call.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/common.sh

traces=() firms=() meshes=() seeds=()
while [ $# -gt 0 ]; do
  case $1 in
    --trace) traces+=("$2") ;;
    --firm) firms+=("$2") ;;
    --mesh) meshes+=("$2") ;;
    --seed) seeds+=("$2") ;;
    *)
      echo "usage: scripts/bench.sh [--trace NAME]... [--firm NAME]... [--mesh NAME]... [--seed N]..." >&2
      exit 2
      ;;
  esac
  shift 2
done
[ ${#traces[@]} -gt 0 ] || traces=(surge slow both frozen platform centre added)
[ ${#firms[@]} -gt 0 ] || firms=(cannelle kiudvali)
[ ${#meshes[@]} -gt 0 ] || meshes=(naive dandelionfield)
[ ${#seeds[@]} -gt 0 ] || seeds=(1)
first_network=${FIELDLAB_NETWORK:-127.0.1}
reports=run/bench
mkdir -p "$reports"
declare -a cells=()
trap stop_cells EXIT
trap 'exit 130' INT TERM

# stop_cells ends the cells of the present trace, which end their processes.
stop_cells() {
  local pid
  for pid in "${cells[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${cells[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  cells=()
}

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

# mesh_ids PREFIX: prints the ids of the mesh's processes, joined by commas.
mesh_ids() {
  local name ids=""
  for name in "${!pid_of[@]}"; do
    case $name in
      "$1"-*) ids+="${ids:+,}${pid_of[$name]}" ;;
    esac
  done
  echo "$ids"
}

# run_added FIRM MESH: stand-ins answer at once, so that the
# difference between direct and relayed calls is the mesh's own.
run_added() {
  local prefix=node file service
  out=run/$1-$2
  write_layout "$1" --seed "$seed" --fixed-time 1us
  start_stand_ins
  case $2 in
    naive)
      prefix=naive
      start_naive
      ;;
    dandelionfield) start_nodes "$1" >&2 ;;
  esac
  sleep 4
  service=rounds
  [ "$1" = cannelle ] || service=stock
  file=$out/target-$service-1.yaml
  {
    echo
    echo "$1 added $2:"
    bin/fieldlab added --entry "$(setting "$out/node-$service-2.yaml" caller_listen)" \
      --target "$(setting "$file" listen)" --path "/$service/{id}" --process "$(mesh_ids $prefix)"
  } | tee "$reports/$1-$2-added-$seed.txt"
  stop_all
}

# run_one FIRM MESH TRACE
run_one() {
  local lost="" load
  out=run/$1-$2
  write_layout "$1" --seed "$seed"
  start_stand_ins
  case $2 in
    naive) start_naive ;;
    dandelionfield) start_nodes "$1" >&2 ;;
  esac
  sleep 4 # the stand-ins are cold for their first 3 s
  if [ "$3" = centre ]; then
    lose_centre &
    lost=$!
  fi
  bin/fieldlab load --config "$out/load-$3.yaml" --json --label "$1,$3,$2" >"$reports/$1-$2-$3-$seed.json" &
  load=$!
  started+=("$load")
  wait "$load" # a trap runs at once in a wait, and only after a foreground command
  if [ -n "$lost" ]; then
    wait "$lost"
  fi
  stop_all
}

# start_cell INDEX FIRM MESH TRACE: runs one cell beside the others.
start_cell() {
  local prefix=${first_network%.*} last=${first_network##*.}
  rm -f "$reports/$2-$3-$4-$seed.json"
  (
    trap stop_all EXIT
    trap 'exit 130' INT TERM
    export FIELDLAB_NETWORK=$prefix.$((last + $1))
    case $4 in
      added) run_added "$2" "$3" ;;
      *) run_one "$2" "$3" "$4" ;;
    esac
  ) &
  cells+=("$!")
}

# wait_cells: waits for the cells that were started; fails if one of them did.
wait_cells() {
  local pid failed=0
  for pid in "${cells[@]}"; do
    wait "$pid" || failed=1
  done
  cells=()
  return "$failed"
}

# run_trace TRACE: runs the cells of one trace. Those of "added" run one after
# the other, since a busy host would show in the times that they measure.
run_trace() {
  local firm mesh index=0
  for firm in "${firms[@]}"; do
    for mesh in "${meshes[@]}"; do
      echo "== $firm $1 $mesh seed $seed" >&2
      start_cell "$index" "$firm" "$mesh" "$1"
      index=$((index + 1))
      [ "$1" != added ] || wait_cells
    done
  done
  wait_cells
  echo "load average: $(cut -d ' ' -f 1-2 /proc/loadavg)" >&2
}

for seed in "${seeds[@]}"; do
  for trace in "${traces[@]}"; do
    run_trace "$trace"
  done
done

files=()
for firm in "${firms[@]}"; do
  for trace in "${traces[@]}"; do
    [ "$trace" != added ] || continue
    for mesh in "${meshes[@]}"; do
      for seed in "${seeds[@]}"; do
        files+=("$reports/$firm-$mesh-$trace-$seed.json")
      done
    done
  done
done
if [ ${#files[@]} -gt 0 ]; then
  seed_list="${seeds[*]}"
  bin/fieldlab table "${files[@]}" | tee "$reports/table-${seed_list// /-}.md"
fi
