# Starting and ending the processes of one firm; sourced by the other scripts,
# which set $out to the directory of the run. Every process is started in the
# background and ended by its own id.

declare -a started=()
declare -A pid_of=()
# The program of the nodes and the firm's declarations; bench.sh sets others for
# a former commit.
node_program=bin/dandelionfield
declarations=

# write_layout FIRM [FLAG]...: writes the settings of the firm's processes into
# $out. FIELDLAB_NETWORK moves the firm to other loopback addresses, such as
# 127.0.9, so that two runs on one host stay apart.
write_layout() {
  local firm=$1
  shift
  rm -rf "$out"
  bin/fieldlab layout --firm "examples/$firm" --out "$out" --network "${FIELDLAB_NETWORK:-}" "$@" >/dev/null
}

# start NAME COMMAND...: runs the command with its output in $out/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$out/$name.log" 2>&1 &
  started+=("$!")
  pid_of[$name]=$!
}

# stop_all ends what start started and waits for it. What has not ended after
# 15 s is killed.
stop_all() {
  local pid
  for pid in "${started[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -TERM "$pid" 2>/dev/null || true
  done
  for _ in $(seq 150); do
    any_alive || break
    sleep 0.1
  done
  kill_all
}

# kill_all ends what start started at once, without a planned stop, and waits
# for it.
kill_all() {
  local pid
  for pid in "${started[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  started=()
  pid_of=()
}

any_alive() {
  local pid
  for pid in "${started[@]}"; do
    if kill -0 "$pid" 2>/dev/null; then
      return 0
    fi
  done
  return 1
}

# setting FILE NAME: prints one top-level value of a settings file.
setting() {
  sed -n "s/^$2: *//p" "$1"
}

# wait_port NAME IP:PORT: waits until the process of that name listens there.
wait_port() {
  local host=${2%:*} port=${2##*:}
  for _ in $(seq 100); do
    if ! kill -0 "${pid_of[$1]}" 2>/dev/null; then
      echo "$1 ended:" >&2
      tail -n 3 "$out/$1.log" >&2
      return 1
    fi
    if (exec 3<>"/dev/tcp/$host/$port") 2>/dev/null; then
      return 0
    fi
    sleep 0.1
  done
  echo "$1 does not listen on $2 after 10 s" >&2
  return 1
}

# start_stand_ins: starts the stand-ins for the platform and the targets of
# the firm in $out.
start_stand_ins() {
  local file platform
  platform=$(setting "$(first_node)" platform_address)
  start platform bin/fieldlab platform --listen "$platform"
  wait_port platform "$platform"
  for file in "$out"/target-*.yaml; do
    start "$(basename "$file" .yaml)" bin/fieldlab target --config "$file"
  done
  for file in "$out"/target-*.yaml; do
    wait_port "$(basename "$file" .yaml)" "$(setting "$file" listen)"
  done
}

# start_naive: starts the naive relays.
start_naive() {
  local file
  for file in "$out"/naive-*.yaml; do
    start "$(basename "$file" .yaml)" bin/fieldlab naive --config "$file"
  done
  for file in "$out"/naive-*.yaml; do
    wait_port "$(basename "$file" .yaml)" "$(setting "$file" listen)"
  done
}

# wait_members ADMIN TOKEN: waits until the node knows all nodes in $out, since
# "in force everywhere" speaks of the nodes that it knows.
wait_members() {
  local want known
  want=$(ls "$out"/node-*.yaml | wc -l)
  for _ in $(seq 100); do
    known=$("$node_program" status --all --node "$1" --token "$2" |
      awk '/^MEMBER/ { on = 1; next } /^$/ { on = 0 } on' | wc -l)
    if [ "$known" -eq "$want" ]; then
      return 0
    fi
    sleep 0.1
  done
  echo "$known of $want nodes are known after 10 s" >&2
  return 1
}

# first_node: prints the settings file of the first node in $out.
first_node() {
  ls "$out"/node-*.yaml | head -n 1
}

# start_nodes FIRM: starts the nodes and applies the firm's declarations.
start_nodes() {
  local file first
  first=$(first_node)
  for file in "$out"/node-*.yaml; do
    start "$(basename "$file" .yaml)" "$node_program" node --config "$file"
  done
  for file in "$out"/node-*.yaml; do
    wait_port "$(basename "$file" .yaml)" "$(setting "$file" caller_listen)"
  done
  wait_members "$(setting "$first" admin_listen)" "$(setting "$first" operator_token)"
  "$node_program" apply -f "${declarations:-examples/$1/mesh}" --node "$(setting "$first" admin_listen)" \
    --token "$(setting "$first" operator_token)" --wait | tail -n 2
}

# start_mesh FIRM MESH: starts the stand-ins of the firm in $out, and its mesh:
# naive, or else the nodes.
start_mesh() {
  start_stand_ins
  case $2 in
    naive) start_naive ;;
    *) start_nodes "$1" ;;
  esac
}

# run_firm FIRM: starts the firm's mesh in $out until the script ends.
run_firm() {
  out=run/$1
  trap stop_all EXIT
  trap 'exit 130' INT TERM
  write_layout "$1"
  start_mesh "$1" dandelionfield
}
