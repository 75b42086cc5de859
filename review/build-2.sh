#!/bin/sh
# Checks the stand-ins and scripts of cases 6 and up. They are plain modules that Node runs as they are, and start nothing but
# the program that the deploy file builds, so there is nothing to compile and nothing to install.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
    if [ -f "$file" ]; then
        node --check "$file"
    fi
done
