#!/usr/bin/env bash
# Builds the stand-ins and the judge of the third review into target/review-3/. They need only Go.
set -euo pipefail
cd "$(dirname "$0")/standins-3"
mkdir -p ../../target/review-3
go test -c -o ../../target/review-3/case .
