#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs the same without the disruption (run.mjs reads it), and must exit with 0.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
case "$TROUBLE" in
  0 | 1) ;;
  *) echo "TROUBLE is '$TROUBLE'; 0 or 1 is allowed" >&2; exit 2 ;;
esac
node run.mjs
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
