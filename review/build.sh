#!/bin/bash
# Builds the stand-ins of the cases. They are Python without dependencies, so this checks that they compile.
set -e
cd "$(dirname "${BASH_SOURCE[0]}")"
export PYTHONPYCACHEPREFIX="${TMPDIR:-/tmp}/tarragonhill-review"
python3 -m py_compile stand_in/*.py [0-9]/*.py
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 or newer is needed"; exit 1; }
