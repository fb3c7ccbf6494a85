#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case_advice
[ -x "$program" ] && [ -x target/waxwingfront ] || exit 2
exec "$program" review/9
