#!/bin/sh
# The stand-ins are Python without dependencies: compiling them is all there is to build.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m py_compile review/stand_ins.py review/*/case.py fakes/platform_template.py
