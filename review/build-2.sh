#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are plain modules of Node.js without
# dependencies, so that there is nothing to compile: this checks that Node.js can read each of them.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
	if [ -f "$file" ]; then
		node --check "$file"
	fi
done
