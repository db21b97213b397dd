#!/usr/bin/env bash
# Builds the stand-ins of the cases.  They are Python without any package, so this only compiles them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q common 1 2 3
