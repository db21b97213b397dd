#!/usr/bin/env bash
# Builds what the scripts of the cases 4 to 8 start beside the project's programs: the stand-ins are Python
# files of this folder that use the standard library alone, so they are only compiled, outside the checkout.
set -euo pipefail
cd "$(dirname "$0")"
for file in common2/*.py [4-8]/*.py; do
    [ ! -e "$file" ] || python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
