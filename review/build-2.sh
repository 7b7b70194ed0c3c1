#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. They are Python programs that need
# nothing but the standard library, so there is only to check that they can be read.
set -e
cd "$(dirname "$0")"
for each in common-2/*.py [0-9]*/*.py; do
    [ -e "$each" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$each"
done
test -x ../target/ragwortcoved || {
    echo "target/ragwortcoved is missing: build deploy/system.toml first" >&2
    exit 1
}
