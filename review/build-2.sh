#!/bin/sh
# Builds the stand-ins of the cases in review/6 to review/10. They are Python files that
# use the libraries which the build of the deploy file has put into target/deps, so that
# this only checks that all of them can be compiled and imported.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:." python3 -c "import fakes.platform_store, fakes.platform_template"
python3 -m py_compile review/stand_ins_2.py
for file in review/6/*.py review/7/*.py review/8/*.py review/9/*.py review/10/*.py; do
    if [ -f "$file" ]; then
        python3 -m py_compile "$file"
    fi
done
