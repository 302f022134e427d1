#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves out
# the disruption. Needs the build of deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/foxtailspool ] && [ -x target/review-standins ] || { echo "not built"; exit 2; }
REVIEW_PROGRAM="$PWD/target/foxtailspool" exec target/review-standins part "$PWD/review/5/record.txt"
