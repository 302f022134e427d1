#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standins"
go build -o ../../target/review-standins .
