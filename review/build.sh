#!/bin/sh
# The scripts start the daemon of the deploy file's build; their stand-ins are Python and need no build.
set -e
cd "$(dirname "$0")"
python3 -B -c "import sys; sys.path.insert(0, \"common\"); import harness"
