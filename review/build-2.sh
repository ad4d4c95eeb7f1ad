#!/usr/bin/env bash
# Builds every stand-in that the scripts start. They are plain modules: it is enough to check that each can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
    if [ -f "$file" ]; then
        node --check "$file"
    fi
done
