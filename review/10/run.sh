#!/usr/bin/env bash
# Plays the case lost-followers: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/dandelionfield ] && [ -x target/review-2/stand ] || exit 2
exec target/review-2/stand lost-followers "$here"
