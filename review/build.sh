#!/usr/bin/env bash
# Builds the project's own stand-ins that the scripts here start (acceptance/).
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc -b
test -f target/teaselrouterd.cjs || node tools/bundle.mjs
