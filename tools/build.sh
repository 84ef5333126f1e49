#!/usr/bin/env bash
# Configures and builds everything into build/. Arguments go to the build tool, for example a target name.
set -euo pipefail
cd "$(dirname "$0")/.."
# Lets checkouts in different folders share the compiler cache.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
cmake -S . -B build -G Ninja >build.log.tmp 2>&1 || { cat build.log.tmp; rm -f build.log.tmp; exit 1; }
rm -f build.log.tmp
cmake --build build -- "$@"
