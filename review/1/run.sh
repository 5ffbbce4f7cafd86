#!/bin/bash
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
timeout -k 5 115 /usr/bin/python3 case.py
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
