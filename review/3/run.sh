#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
here=$PWD
cd ../.. || exit 2
[ -x target/hallpier ] && [ -x review/bin/case3 ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
folder=$(mktemp -d) || exit 2
CASE_TMP=$folder CASE_RECORD=$here/record.txt timeout -k 2 118 review/bin/case3
status=$?
rm -rf "$folder"
case $status in 0|1) exit $status ;; *) exit 2 ;; esac
