#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held and 2 if it could not run.
# TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
[ -x target/release/apricotrun-host ] && [ -x target/review-2/crashing ] || exit 2
exec target/review-2/crashing "$folder"
