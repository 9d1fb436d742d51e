#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The nodes come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/stand ./review/stand
