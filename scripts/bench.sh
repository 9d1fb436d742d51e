#!/usr/bin/env bash
# Runs traces against dandelionfield and against the naive relay, with the same
# stand-ins and seed, and prints one table as markdown.
#
#   scripts/bench.sh [--trace NAME]... [--firm NAME]... [--mesh NAME]... [--seed N]
#
# Traces: surge slow both frozen platform centre added. Meshes: naive
# dandelionfield. The trace "added" measures the time that a mesh adds to a call.
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
[ ${#traces[@]} -gt 0 ] || traces=(surge slow both frozen platform centre added)
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
  out=run/$1
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
  local lost=""
  out=run/$1
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
  bin/fieldlab load --config "$out/load-$3.yaml" --json --label "$1,$3,$2" >"$reports/$1-$2-$3-$seed.json"
  if [ -n "$lost" ]; then
    wait "$lost"
  fi
  stop_all
}

for firm in "${firms[@]}"; do
  for trace in "${traces[@]}"; do
    for mesh in "${meshes[@]}"; do
      echo "== $firm $trace $mesh seed $seed" >&2
      if [ "$trace" = added ]; then
        run_added "$firm" "$mesh"
      else
        run_one "$firm" "$mesh" "$trace"
      fi
    done
  done
done

files=()
for firm in "${firms[@]}"; do
  for trace in "${traces[@]}"; do
    [ "$trace" != added ] || continue
    for mesh in "${meshes[@]}"; do
      files+=("$reports/$firm-$mesh-$trace-$seed.json")
    done
  done
done
if [ ${#files[@]} -gt 0 ]; then
  bin/fieldlab table "${files[@]}" | tee "$reports/table-$seed.md"
fi
