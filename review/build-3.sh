#!/usr/bin/env bash
# Checks the stand-ins of the cases 11 to 15. They are plain modules without dependencies, and are not compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
for module in review/lib-3/*.mjs review/1[1-5]/*.mjs; do node --check "$module"; done
[ -f target/entry-vm.js ] || { echo "run the build of the deploy file first"; exit 1; }
