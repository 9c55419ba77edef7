#!/bin/sh
# Case 3. Build before: the deploy file's build, then review/build.sh. Exits with 1 if the rule was broken,
# 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review/3 ] && [ -x bin/coralrelay ] || { echo "not built"; exit 2; }
exec bin/review/3 -record review/3/record.txt
