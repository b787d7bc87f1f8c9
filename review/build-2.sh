#!/bin/sh
# Checks what the scripts of the second review start, after the build of the deploy
# file: the stand-ins are Python and need nothing beyond its libraries.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:src:.:review" python3 -S -c "import h11, orjson, trio
import standins.published_store, runner_2, stage_2"
