#!/bin/bash
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0: the same without the disruption.
# The two parts run beside each other, each with its own processes.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
timeout -k 3 115 /usr/bin/python3 case.py &
first=$!
timeout -k 3 115 /usr/bin/python3 late_report.py &
second=$!
trap 'kill "$first" "$second"; exit 2' TERM INT
wait "$first"
a=$?
wait "$second"
b=$?
{ echo "---- late_report.py"; cat record-report.txt; } >> record.txt
rm -f record-report.txt
if [ "$a" -eq 1 ] || [ "$b" -eq 1 ]; then
    exit 1
fi
[ "$a" -eq 0 ] && [ "$b" -eq 0 ] || exit 2
exit 0
