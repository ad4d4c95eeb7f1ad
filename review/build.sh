#!/bin/bash
# Builds every stand-in that a script starts. They are plain modules that run in the process of the script, without
# dependencies, so this only checks that Node.js can read them.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
    [ ! -e "$file" ] || node --check "$file"
done
