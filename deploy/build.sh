#!/usr/bin/env bash
# Installs the libraries and the two packages of radishferryd into target/deps.
set -eu
wanted=deploy/requirements.txt
stamp=target/deps/.installed
if ! cmp -s "$wanted" "$stamp"; then
    rm -rf target/deps
    python3 -m pip install -q --disable-pip-version-check \
        --target target/deps -r "$wanted"
    cp "$wanted" "$stamp"
fi
for package in radishferry radishferryd; do
    rm -rf "target/deps/$package"
    cp -r "packages/$package/src/$package" "target/deps/$package"
done
python3 -m compileall -q target/deps/radishferry target/deps/radishferryd
