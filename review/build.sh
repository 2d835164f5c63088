#!/usr/bin/env bash
# The stand-ins are plain modules for the Node.js that runs the controllers: nothing is compiled, only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins/*.mjs */test.mjs; do node --check "$file"; done
test -f ../target/rowanferry.cjs
