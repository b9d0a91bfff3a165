#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-2/cases ] && [ -x target/release/platform ] || exit 2
exec target/review-2/cases foreign-heartbeat "$here"
