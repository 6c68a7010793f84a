#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 15 start: the project's store, and the small
# ones of review/common-3. All are plain Python and use the libraries of the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH=target/deps:standins/src:packages/core/src:packages/wire/src:packages/gateway/src:platform/src
python3 -m compileall -q standins/src/carawayquay_standins review/common-3 || exit 1
exec python3 -c "import carawayquay_standins.platform_store"
