#!/bin/sh
# Builds the stand-ins of the third review's scripts. It needs no network once the build of the
# deploy file has run.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/stand3 ./review/stand3
