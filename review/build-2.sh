#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are plain modules of Node.js; this checks that all of them can be read.
cd "$(dirname "$0")" || exit 1
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  [ ! -e "$file" ] || node --check "$file" || exit 1
done
