#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. With TROUBLE=0 the disruption is left out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
export TROUBLE="${TROUBLE:-1}" PROGRAM="$root/target/release/quartzlever" SCRATCH="$scratch" RECORD="$folder/record.txt"
[ -x "$PROGRAM" ] && [ -x "$root/target/release/lost-group" ] || exit 2
timeout -k 2 115 "$root/target/release/lost-group"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
