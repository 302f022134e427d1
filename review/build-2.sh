#!/usr/bin/env bash
# Builds the stand-ins and the scenarios of the second review into target/. They need Go's
# standard library only, so no network.
set -euo pipefail
mkdir -p "$(dirname "$0")/../target"
cd "$(dirname "$0")/standins-2"
go test -c -o ../../target/review-standins-2 .
