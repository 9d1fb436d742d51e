# Starting and ending the processes of one firm; sourced by the other scripts.
# Every process is started in the background and ended by its own id.

declare -a started=()
declare -A pid_of=()

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
  local pid try
  for pid in "${started[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -TERM "$pid" 2>/dev/null || true
  done
  for try in $(seq 150); do
    any_alive || break
    sleep 0.1
  done
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
  local host=${2%:*} port=${2##*:} try
  for try in $(seq 100); do
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
  platform=$(setting "$(ls "$out"/node-*.yaml | head -n 1)" platform_address)
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
  local want known try
  want=$(ls "$out"/node-*.yaml | wc -l)
  for try in $(seq 100); do
    known=$(bin/dandelionfield status --all --node "$1" --token "$2" |
      awk '/^MEMBER/ { on = 1; next } /^$/ { on = 0 } on' | wc -l)
    if [ "$known" -eq "$want" ]; then
      return 0
    fi
    sleep 0.1
  done
  echo "$known of $want nodes are known after 10 s" >&2
  return 1
}

# start_nodes FIRM: starts the nodes and applies the firm's declarations.
start_nodes() {
  local file first
  first=$(ls "$out"/node-*.yaml | head -n 1)
  for file in "$out"/node-*.yaml; do
    start "$(basename "$file" .yaml)" bin/dandelionfield node --config "$file"
  done
  for file in "$out"/node-*.yaml; do
    wait_port "$(basename "$file" .yaml)" "$(setting "$file" caller_listen)"
  done
  wait_members "$(setting "$first" admin_listen)" "$(setting "$first" operator_token)"
  bin/dandelionfield apply -f "examples/$1/mesh" --node "$(setting "$first" admin_listen)" \
    --token "$(setting "$first" operator_token)" --wait | tail -n 2
}
