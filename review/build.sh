#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/, with the standard library only.
set -euo pipefail
mkdir -p "$(dirname "$0")/../target"
cd "$(dirname "$0")/standins"
go test -c -o ../../target/review-standins .
