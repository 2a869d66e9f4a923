#!/bin/sh
# Runs this case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
case=target/review-2/case-${folder##*/}
[ -x "$case" ] && [ -x target/release/sparlug-proxy ] || { echo "could not run: build first"; exit 2; }
# The proxy ends with the case's program, however that ends.
RECORD="$folder/record.txt" timeout 115 "$case"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
