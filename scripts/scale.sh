#!/usr/bin/env bash
# Measures what a node costs for control in meshes of several sizes, without calls.
#
#   scripts/scale.sh N...
#
# N nodes stand over 54 services, 3 regions and 6 data centres, each a process
# with an address of its own, and share a few stand-ins for targets. The
# declarations are the same for every N: 54 services with 5 kinds each. Once all
# know all, and SETTLE seconds later, it counts for WINDOW seconds:
#
#   cpu%         processor time of a node, share of a core (/proc/PID/stat)
#   rss, peak    resident memory of a node at the end, and its highest, in MB
#   KB/s         what a node reads and writes (/proc/PID/io), without headers of TCP
#   reads,writes operations of the platform, a node and second
#   change       time from the first node that has a revision in force to the
#                last one, in s, for each of CHANGES changes (from the nodes' logs)
#   leave        time from the start of a planned stop until the last node knows
#
# Then it ends every process by its id. SCALE_NETWORK holds the first two parts
# of the addresses.
set -euo pipefail
shopt -s inherit_errexit
cd "$(dirname "$0")/.."
source scripts/common.sh

network=${SCALE_NETWORK:-127.53}
settle=${SETTLE:-35} # a connection for control closes after 10 s without use
window=${WINDOW:-40}
changes=${CHANGES:-3}
readonly services=54 kinds=5 stand_ins=4 token=loopback-scale-only
readonly centres=(one_a one_b two_a two_b three_a three_b)
readonly node_budget_kb=62500 # 64 MB, the budget of a node
readonly others_kb=300000     # the platform and the stand-ins
readonly files_per_node=4     # both ends of a connection, and some to spare
readonly converge_timeout=180 # s
node_pids=()

# check_room N: fails unless half of the host's memory, and its limits, suffice.
check_room() {
  local need=$(($1 * node_budget_kb + others_kb)) total free
  total=$(awk '/^MemTotal:/ { print $2 }' /proc/meminfo)
  free=$(awk '/^MemAvailable:/ { print $2 }' /proc/meminfo)
  if [ "$need" -gt $((total / 2)) ] || [ "$need" -gt "$free" ]; then
    echo "$1 nodes may take $((need / 1000)) MB; half of the memory is $((total / 2000)) MB, $((free / 1000)) MB are free" >&2
    return 1
  fi
  if [ "$(ulimit -n)" != unlimited ] && [ "$(ulimit -n)" -lt $(($1 * files_per_node + 200)) ]; then
    echo "$1 nodes need $(($1 * files_per_node + 200)) open files each; the limit is $(ulimit -n)" >&2
    return 1
  fi
}

# address INDEX PORT: prints the address of the node of that index.
address() {
  echo "$network.$(($1 / 200)).$(($1 % 200 + 1)):$2"
}

# centre INDEX: prints the data centre; nodes of one service stand in several.
centre() {
  echo "${centres[$((($1 + $1 / services) % ${#centres[@]}))]}"
}

# write_declarations CHANGE: writes the mesh; one queue follows the change.
write_declarations() {
  local i k name
  {
    echo "resource: limits"
    for name in "${centres[@]}"; do
      printf -- '---\nresource: data_centre\nname: %s\nregion: %s\n' "$name" "${name%_*}"
    done
    for i in $(seq 0 $((services - 1))); do
      printf -- '---\nresource: service\nname: service_%d\nslots: 20\nconnections: 100\nqueue: %d\nhealth_path: /-/healthz\n' \
        "$i" $((i == 0 ? 20 + $1 : 20))
      for k in $(seq $kinds); do
        printf -- '---\nresource: request_kind\nname: kind_%d_%d\nservice: service_%d\nmethod: %s\npath: /service-%d/%d/{item}\n' \
          "$i" "$k" "$i" "$([ "$k" = 1 ] && echo POST || echo GET)" "$i" "$k"
      done
    done
  } >"$out/mesh.yaml"
}

# write_settings N: writes the settings of every process.
write_settings() {
  local i name
  for i in $(seq 0 $((stand_ins - 1))); do
    printf 'name: target-%d\nservice: service_0\nlisten: %s.251.%d:7103\nnode_address: %s\nslots: 1000\nconnections: 1000\nservice_time: 1ms\ndistribution: fixed\ncold_factor: 1\n' \
      "$i" "$network" $((i + 1)) "$(address 0 7100)" >"$out/target-$i.yaml"
  done
  for i in $(seq 0 $(($1 - 1))); do
    name=$(centre "$i")
    printf 'name: node-%d\ndata_centre: %s\nregion: %s\nservice: service_%d\ncaller_listen: %s\nrelay_listen: %s\nadmin_listen: %s\ntarget_address: %s.251.%d:7103\nplatform_address: %s\noperator_token: %s\nlog_level: debug\n' \
      "$i" "$name" "${name%_*}" $((i % services)) "$(address "$i" 7100)" "$(address "$i" 7101)" "$(address "$i" 7102)" \
      "$network" $((i % stand_ins + 1)) "$platform" "$token" >"$out/node-$i.yaml"
  done
}

# start_mesh N
start_mesh() {
  local i
  start platform bin/fieldlab platform --listen "$platform"
  wait_port platform "$platform"
  for i in $(seq 0 $((stand_ins - 1))); do
    start "target-$i" bin/fieldlab target --config "$out/target-$i.yaml"
  done
  for i in $(seq 0 $(($1 - 1))); do
    start "node-$i" bin/dandelionfield node --config "$out/node-$i.yaml"
    node_pids+=("${pid_of[node-$i]}")
    [ $((i % 10)) != 9 ] || sleep 0.5 # a start costs more than a second of control
  done
}

# metric_urls N: prints where the nodes show their metrics.
metric_urls() {
  local i
  for i in $(seq 0 $(($1 - 1))); do
    echo "http://$(address "$i" 7102)/metrics"
  done
}

# knowing N: prints how many nodes see N members.
knowing() {
  metric_urls "$1" | xargs curl -sZ --no-progress-meter --parallel-max 8 2>/dev/null | grep -c "^dandelionfield_members $1\$" || true
}

# logged N EVENT: prints how many of the N nodes have logged a line with the text.
logged() {
  { grep -lF -- "$2" "$out"/node-*.log || true; } | wc -l
}

# check_alive: fails when a process has ended that should not have, as one does
# whose address another run has taken.
check_alive() {
  local name
  for name in "${!pid_of[@]}"; do
    if ! kill -0 "${pid_of[$name]}" 2>/dev/null; then
      echo "$name ended:" >&2
      tail -n 1 "$out/$name.log" >&2
      return 1
    fi
  done
}

# wait_until COUNT WHAT COMMAND...: waits until the command prints the count.
wait_until() {
  local count=$1 what=$2 seen end=$((SECONDS + converge_timeout))
  shift 2
  until seen=$("$@") && [ "$seen" = "$count" ]; do
    check_alive
    if [ "$SECONDS" -ge "$end" ]; then
      echo "$what: $seen of $count after $converge_timeout s" >&2
      return 1
    fi
    sleep 1
  done
}

# apply REVISION: applies the declarations of that revision.
apply() {
  write_declarations "$1"
  bin/dandelionfield apply -f "$out/mesh.yaml" --node "$(address 0 7102)" --token "$token" >"$out/apply-$1.log"
}

# seconds_of TEXT: prints the times of the nodes' log lines with the text, sorted.
seconds_of() {
  { grep -hF -- "$1" "$out"/node-*.log || true; } | sed 's/^time=[^T]*T\([0-9:.]*\)Z.*/\1/' |
    awk -F: '{ printf "%.3f\n", $1 * 3600 + $2 * 60 + $3 }' | sort -n
}

# count_used: prints ticks, bytes, and the platform's reads and writes so far.
# The bytes are those of read and write calls, nearly all of them on sockets.
count_used() {
  local ticks bytes
  ticks=$(printf '/proc/%s/stat\n' "${node_pids[@]}" | xargs awk '{ sum += $14 + $15 } END { printf "%.0f", sum }')
  bytes=$(printf '/proc/%s/io\n' "${node_pids[@]}" | xargs awk '/^[rw]char:/ { sum += $2 } END { printf "%.0f", sum }')
  echo "$ticks" "$bytes" "$(curl -s "http://$platform/-/stats" | jq -r '"\(.reads) \(.writes)"')"
}

# memory NAME: prints the mean of that line of /proc/PID/status in MB.
memory() {
  printf '/proc/%s/status\n' "${node_pids[@]}" | xargs awk -v name="$1:" \
    '$1 == name { sum += $2; n++ } END { printf "%.1f", sum * 1024 / n / 1e6 }'
}

# measure_idle N: prints cpu%, KB/s, reads and writes, a node.
measure_idle() {
  local before after from to
  from=$(date +%s.%N)
  before=$(count_used)
  sleep "$window"
  to=$(date +%s.%N)
  after=$(count_used)
  echo "$before $after" | awk -v n="$1" -v time="$(echo "$to - $from" | bc)" -v tick="$(getconf CLK_TCK)" \
    '{ printf "%.2f %.1f %.3f %.3f", 100 * ($5 - $1) / tick / time / n, ($6 - $2) / 1000 / time / n,
       ($7 - $3) / time / n, ($8 - $4) / time / n }'
}

# measure_change N REVISION: prints how long the change took to be everywhere.
measure_change() {
  apply "$2"
  wait_until "$1" "revision $2" logged "$1" "event=revision_in_force revision=$2 "
  seconds_of "event=revision_in_force revision=$2 " | awk 'NR == 1 { first = $1 } END { printf "%.2f", $1 - first }'
}

# measure_leave N: stops the last node and prints how long its news took.
measure_leave() {
  local name=node-$(($1 - 1)) from
  local news="event=member_changed member=$name state=leaving"
  kill -TERM "${pid_of[$name]}"
  unset "pid_of[$name]" # it is to end now
  wait_until $(($1 - 1)) "news of the leave" logged "$1" "$news"
  from=$(seconds_of "event=leaving node=$name")
  seconds_of "$news" | awk -v from="$from" 'END { printf "%.2f", $1 - from }'
}

# measure N: prints one line of figures.
measure() {
  local n=$1 idle resident peak begun changed="" left load i
  platform=$network.250.1:7104
  out=run/scale-$n
  node_pids=()
  rm -rf "$out"
  mkdir -p "$out"
  write_settings "$n"
  begun=$SECONDS
  start_mesh "$n"
  wait_until "$n" "nodes with a view" logged "$n" "event=view_ready"
  apply 1 # before it, the metrics do not show the members
  wait_until "$n" "active nodes" logged "$n" "event=node_active"
  wait_until "$n" "nodes that know all" knowing "$n"
  echo "$n nodes know each other $((SECONDS - begun)) s after the first start" >&2
  sleep "$settle"
  idle=$(measure_idle "$n")
  resident=$(memory VmRSS)
  peak=$(memory VmHWM)
  for i in $(seq 2 $((changes + 1))); do
    changed+="${changed:+,}$(measure_change "$n" "$i")"
  done
  left=$(measure_leave "$n")
  load=$(cut -d ' ' -f 1-2 /proc/loadavg | tr ' ' ,)
  stop_all # before the row, after which another run may begin
  row "$n" $idle "$resident" "$peak" "$changed" "$left" "$load"
}

# row FIELD...: prints one line of the table.
row() {
  printf '%5s %6s %6s %7s %7s %7s %7s %18s %6s %s\n' "$@"
}

if [ $# -eq 0 ]; then
  echo "usage: scripts/scale.sh N..." >&2
  exit 2
fi
for n in "$@"; do
  check_room "$n"
done
trap stop_all EXIT
trap 'exit 130' INT TERM
row N cpu% KB/s reads writes rss peak change leave load
for n in "$@"; do
  measure "$n"
done
