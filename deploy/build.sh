#!/bin/sh
# Puts the libraries that the entry daemon needs, and the daemon, under target/deps.
set -eu
deps=target/deps
if [ ! -e "$deps/.installed" ] || [ deploy/requirements.txt -nt "$deps/.installed" ]; then
    python3 -m pip install --quiet --upgrade --target "$deps" --requirement deploy/requirements.txt
    touch "$deps/.installed"
fi
rm -rf "$deps/flamingoladder"
cp -r src/flamingoladder "$deps/flamingoladder"
python3 -m compileall -q "$deps"
