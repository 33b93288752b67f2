#!/bin/bash
# Builds the stand-ins of the second review's cases. They are Python without dependencies, so this checks that they compile.
set -e
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 or newer is needed"; exit 1; }
python3 -B - rig/*.py [4-8]/*.py <<'P'
import sys
for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")
P
