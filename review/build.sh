#!/usr/bin/env bash
# Builds the stand-ins of the cases. The program is built as the deploy file does.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
(cd review/standin && GOFLAGS=-buildvcs=false go build -o ../../target/review-standin .)
