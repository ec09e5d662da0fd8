#!/bin/sh
# The stand-ins are plain modules for Node.js and need no build; this only checks that each can be read.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [1-9]/*.mjs; do
  node --check "$file"
done
