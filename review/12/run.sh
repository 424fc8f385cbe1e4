#!/bin/sh
# Plays the case and writes record.txt beside this file. Exits with 1 if the rule was broken, with 0 if it held
# and with 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/standins-3 ] && [ -x target/release/apricotrun-host ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review-3/standins-3 lost-at-stop review/12/record.txt "$folder"
