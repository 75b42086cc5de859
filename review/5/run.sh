#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
node case.mjs
status=$?
case "$status" in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac
