#!/usr/bin/env bash
# The stand-ins of review/lib are plain modules for Node.js and need no build; this checks that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
for module in review/lib/*.mjs review/*/case.mjs; do
  node --check "$module"
done
