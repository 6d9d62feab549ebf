#!/usr/bin/env bash
# Runs the case and writes record.txt here. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it runs without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/basillinkd ] && [ -x target/review/lab ] || { echo "build first: the deploy file's build, then review/build.sh" >&2; exit 2; }
exec target/review/lab leaver review/5
