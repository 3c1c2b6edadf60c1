#!/bin/sh
# Builds the stand-ins of the scripts of the third review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/standin-3"
GOWORK=off go build -o ../../target/standin-3 .
