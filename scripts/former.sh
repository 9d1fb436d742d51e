# Nodes of a former commit; sourced by bench.sh.

# build_former COMMIT: builds the node of a former commit into
# run/former/<short commit>, from a worktree that is removed again, and sets
# $former to the short commit.
build_former() {
  local home
  former=$(git rev-parse --short "$1^{commit}")
  home=run/former/$former
  if [ -x "$home/dandelionfield" ]; then
    return 0
  fi
  mkdir -p "$home"
  drop_tree "$home/tree"
  git worktree add --quiet --detach "$home/tree" "$former"
  (cd "$home/tree" && go build -o ../dandelionfield ./cmd/dandelionfield) || {
    drop_tree "$home/tree"
    echo "former commit $former does not build" >&2
    return 1
  }
  drop_tree "$home/tree"
}

# drop_tree DIR: removes a worktree, if it is there.
drop_tree() {
  if [ -e "$1" ]; then
    git worktree remove --force "$1"
  fi
}

# use_former FIRM: makes the nodes in $out those of the former commit, with the
# settings and declarations that it knows, and notes in $left_out what it does not.
use_former() {
  local file
  node_program=run/former/$former/dandelionfield
  declarations=$out/mesh
  cp -r "examples/$1/mesh" "$declarations"
  for file in "$out"/node-*.yaml; do
    leave_out_unknown "$node_program" check --settings "$file"
  done | sort -u | note_left_out "the nodes' settings"
  leave_out_unknown "$node_program" check "$declarations" | sort -u | note_left_out "the declarations of $1"
}

# note_left_out PLACE: notes each key of its input.
note_left_out() {
  local key
  while read -r key; do
    echo "former-$former does not know $key in $1; it ran without." | tee -a "$left_out" >&2
  done
}

# leave_out_unknown COMMAND...: runs a check and removes the lines of keys that
# it does not know from the files that it names, until it finds no more. It
# prints these keys; any other fault remains for the node or the apply to tell.
leave_out_unknown() {
  local problems places file line
  for _ in $(seq 10); do
    problems=$("$@" 2>&1) && return 0
    places=$(sed -n 's/^\([^ :]*\):\([0-9]*\):[0-9]*: .*expected one of the keys .*/\1 \2/p' <<<"$problems" | sort -k1,1 -k2,2nr)
    [ -n "$places" ] || return 0
    while read -r file line; do
      sed -n "${line}s/^[ -]*\([a-z_]*\):.*/\1/p" "$file"
      sed -i "${line}d" "$file"
    done <<<"$places"
  done
}
