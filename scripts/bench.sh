#!/usr/bin/env bash
# Runs traces against dandelionfield and against the naive relay, with the same
# stand-ins and seeds, prints tables as markdown and draws each trace over time.
#
#   scripts/bench.sh [--trace NAME]... [--firm NAME]... [--mesh NAME]...
#                    [--seed N]... [--runs N] [--former COMMIT]
#
# Traces: surge slow both frozen platform centre added. Meshes: naive
# dandelionfield. The trace "added" measures the time that a mesh adds to a call.
# --runs repeats each seed. --former adds a mesh of the nodes of a former commit,
# between today's stand-ins and load tool.
#
# The meshes of one trace run side by side, those of both firms too where they
# are no more than four, each on a network of its own: FIELDLAB_NETWORK (127.0.1
# by default) and the ones after it. Reports lie in
# run/bench/<firm>/<trace>/<mesh>/<seed>-<run>.json.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/common.sh
source scripts/former.sh

command_line=${*:+ $*}
traces=() firms=() meshes=() seeds=() runs=1 former=
while [ $# -gt 0 ]; do
  case $1 in
    --trace) traces+=("$2") ;;
    --firm) firms+=("$2") ;;
    --mesh) meshes+=("$2") ;;
    --seed) seeds+=("$2") ;;
    --runs) runs=$2 ;;
    --former) former=$2 ;;
    *)
      sed -n '/^#   scripts/,/^#$/s/^# *//p' "$0" >&2
      exit 2
      ;;
  esac
  shift 2
done
[ ${#traces[@]} -gt 0 ] || traces=(surge slow both frozen platform centre added)
[ ${#firms[@]} -gt 0 ] || firms=(cannelle kiudvali)
[ ${#meshes[@]} -gt 0 ] || meshes=(naive dandelionfield)
[ ${#seeds[@]} -gt 0 ] || seeds=(1)
if [ -n "$former" ]; then
  build_former "$former"
  meshes+=("former-$former")
fi
first_network=${FIELDLAB_NETWORK:-127.0.1}
reports=run/bench
left_out=$reports/left_out.txt
most_cells=4 # more meshes at once would measure each other
mkdir -p "$reports"
rm -f "$left_out"
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

# report_file FIRM TRACE MESH: prints where the report of the present run lies.
report_file() {
  echo "$reports/$1/$2/$3/$seed-$run.json"
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

# mesh_ids MESH: prints the ids of the mesh's processes, joined by commas.
mesh_ids() {
  local name prefix=node ids=""
  [ "$1" != naive ] || prefix=naive
  for name in "${!pid_of[@]}"; do
    case $name in
      "$prefix"-*) ids+="${ids:+,}${pid_of[$name]}" ;;
    esac
  done
  echo "$ids"
}

# prepare FIRM MESH [FLAG]...: starts a firm's mesh in $out.
prepare() {
  local firm=$1 mesh=$2
  shift 2
  out=run/$firm-$mesh
  write_layout "$firm" --seed "$seed" "$@"
  case $mesh in
    naive | dandelionfield) ;;
    *) use_former "$firm" ;;
  esac
  start_mesh "$firm" "$mesh" >&2
  sleep 4 # the stand-ins are cold for their first 3 s
}

# measure COMMAND...: runs the command with its output as the report $report. A
# report is there only when the command has ended well.
measure() {
  local measuring
  "$@" >"$report.part" &
  measuring=$!
  started+=("$measuring")
  wait "$measuring" # a trap runs at once in a wait, and only after a foreground command
  mv "$report.part" "$report"
}

# run_added FIRM MESH: stand-ins answer at once, so that the difference between
# direct and relayed calls is the mesh's own.
run_added() {
  local service=rounds
  [ "$1" = cannelle ] || service=stock
  prepare "$1" "$2" --fixed-time 1us
  measure bin/fieldlab added --json --path "/$service/{id}" --process "$(mesh_ids "$2")" \
    --entry "$(setting "$out/node-$service-2.yaml" caller_listen)" \
    --target "$(setting "$out/target-$service-1.yaml" listen)"
}

# run_one FIRM MESH TRACE
run_one() {
  local lost=""
  prepare "$1" "$2"
  if [ "$3" = centre ]; then
    lose_centre &
    lost=$!
    started+=("$lost")
  fi
  measure bin/fieldlab load --config "$out/load-$3.yaml" --json --process "$(mesh_ids "$2")"
  if [ -n "$lost" ]; then
    wait "$lost"
  fi
}

# start_cell INDEX FIRM MESH TRACE: runs one cell beside the others. Nothing is
# measured once the report is there, so no planned stop is waited for.
start_cell() {
  local prefix=${first_network%.*} last=${first_network##*.} report
  report=$(report_file "$2" "$4" "$3")
  mkdir -p "$(dirname "$report")"
  rm -f "$report"
  (
    trap kill_all EXIT
    trap 'exit 130' INT TERM
    export FIELDLAB_NETWORK=$prefix.$((last + $1))
    case $4 in
      added) run_added "$2" "$3" ;;
      *) run_one "$2" "$3" "$4" ;;
    esac
  ) &
  cells+=("$!")
}

# wait_cells: waits for the cells that were started. One that failed has no
# report, which the tables count.
wait_cells() {
  local pid
  for pid in "${cells[@]}"; do
    wait "$pid" || failed=1
  done
  cells=()
}

# run_trace TRACE: runs the cells of one trace. Those of "added" run one after
# the other, since a busy host would show in the times that they measure.
run_trace() {
  local firm mesh index=0 together=$((${#firms[@]} * ${#meshes[@]}))
  for firm in "${firms[@]}"; do
    for mesh in "${meshes[@]}"; do
      echo "== $firm $1 $mesh seed $seed run $run" >&2
      start_cell "$index" "$firm" "$mesh" "$1"
      index=$((index + 1))
      [ "$1" != added ] || wait_cells
    done
    [ "$together" -le "$most_cells" ] || wait_cells
  done
  wait_cells
  echo "load average: $(cut -d ' ' -f 1-2 /proc/loadavg)" >&2
}

# list_reports TRACE...: sets $files to the reports that the runs should have left.
list_reports() {
  local firm trace mesh
  files=()
  for firm in "${firms[@]}"; do
    for trace in "$@"; do
      for mesh in "${meshes[@]}"; do
        for seed in "${seeds[@]}"; do
          for run in $(seq "$runs"); do
            files+=("$(report_file "$firm" "$trace" "$mesh")")
          done
        done
      done
    done
  done
}

# print_setting: prints what a reader needs to judge the figures and to get them again.
print_setting() {
  local commit
  commit=$(git rev-parse --short HEAD)
  git diff --quiet HEAD || commit+=" with changes"
  echo "Commit $commit; host with $(nproc) cores and $(awk '/^MemTotal/ { printf "%.0f", $2 / 1024 / 1024 }' /proc/meminfo) GiB;" \
    "load average $(cut -d ' ' -f 1-3 /proc/loadavg) at the end; $((SECONDS - begun)) s for:"
  echo
  echo "    scripts/bench.sh$command_line"
  echo
}

# print_left_out: prints what the former commit ran without.
print_left_out() {
  if [ -s "$left_out" ]; then
    echo
    sort -u "$left_out"
  fi
}

begun=$SECONDS
failed=0
for run in $(seq "$runs"); do
  for seed in "${seeds[@]}"; do
    for trace in "${traces[@]}"; do
      run_trace "$trace"
    done
  done
done
echo "wall time: $((SECONDS - begun)) s" >&2

seed_list="${seeds[*]}"
name=${seed_list// /-}
loads=()
for trace in "${traces[@]}"; do
  [ "$trace" = added ] || loads+=("$trace")
done
if [ ${#loads[@]} -gt 0 ]; then
  list_reports "${loads[@]}"
  {
    print_setting
    bin/fieldlab table --root "$reports" "${files[@]}"
    print_left_out
  } | tee "$reports/table-$name.md"
  bin/fieldlab table --root "$reports" --kinds "${files[@]}" >"$reports/kinds-$name.md"
  bin/fieldlab report --root "$reports" --out "$reports/pictures-$name" "${files[@]}" >&2
fi
if [ ${#loads[@]} -lt ${#traces[@]} ]; then
  list_reports added
  echo
  {
    print_setting
    bin/fieldlab table --root "$reports" --added "${files[@]}"
    print_left_out
  } | tee "$reports/added-$name.md"
fi
exit "$failed"
