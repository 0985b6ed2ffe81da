#!/bin/sh
# Puts the libraries that the entry daemon needs, and the daemon, under target/deps.
set -eu
deps=target/deps
if ! cmp -s deploy/requirements.txt "$deps/installed.txt"; then
    rm -rf "$deps"
    python3 -m pip install --quiet --target "$deps" --requirement deploy/requirements.txt
    cp deploy/requirements.txt "$deps/installed.txt"
fi
rm -rf "$deps/flamingoladder"
cp -r src/flamingoladder "$deps/flamingoladder"
python3 -m compileall -q "$deps"
