#!/bin/bash
# Plays the case once, after the build of deploy/system.toml and review/build-2.sh. It exits with 1 if the rule was broken,
# 0 if it held and 2 if the case could not run. With TROUBLE=0 it leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
exec target/review-2/review2 taken-up "$here"
