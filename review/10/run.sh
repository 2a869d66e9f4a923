#!/bin/sh
# Runs this case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
case=target/review-2/case-${folder##*/}
[ -x "$case" ] && [ -x target/release/sparlug-proxy ] || { echo "could not run: build first"; exit 2; }
RECORD="$folder/record.txt" exec timeout 115 "$case"
