#!/usr/bin/env bash
# Prepares the stand-ins of the cases 4 to 6. They are plain modules without dependencies, so that nothing is built:
# each is only checked. The controllers come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for module in review/stand-ins-2/*.mjs review/[456]/case.mjs; do
  node --check "$module"
done
