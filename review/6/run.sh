#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/rowanferry.cjs ]; then
  echo 'target/rowanferry.cjs is missing: run the build of the deploy file first' >&2
  exit 2
fi
exec node review/6/case.mjs
