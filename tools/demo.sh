#!/usr/bin/env bash
# Runs the demo: tools/demo.sh BIN_DIR. WEIGHTS=FILE rolls out a real file instead of random bytes.
set -euo pipefail
bin=${1:?usage: tools/demo.sh BIN_DIR}
exec "$bin/savoryrouter-demo" --bin-dir "$bin" ${WEIGHTS:+--weights "$WEIGHTS"}
