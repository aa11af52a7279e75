#!/bin/sh
# The stand-ins are plain scripts for Node.js without dependencies: nothing has to be compiled, only checked.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
	node --check "$file"
done
