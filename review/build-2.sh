#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 4 to 6 start. To be run
# after the build line of deploy/system.toml; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
npx --no-install tsc -b acceptance
