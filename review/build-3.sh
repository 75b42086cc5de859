#!/bin/sh
# Builds what the scripts in review/11 to review/15 start beside the program of the deploy file: their stand-ins are plain
# Node programs without dependencies, so that this only checks that each of them can be read and that the program is there.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib-3/*.mjs review/11/case.mjs review/12/case.mjs review/13/case.mjs review/14/case.mjs review/15/case.mjs; do
    node --check "$file"
done
test -f target/rattanquay.cjs || {
    echo "target/rattanquay.cjs is missing: run the build of deploy/system.toml first" >&2
    exit 1
}
echo "the stand-ins of review/11 to review/15 are ready"
