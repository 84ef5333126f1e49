#!/usr/bin/env bash
# Formats the sources in place; with --check only reports files that differ.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard -- '*.h' '*.cpp')
if [ "${1:-}" = --check ]; then
  clang-format-19 --dry-run --Werror "${files[@]}"
else
  clang-format-19 -i "${files[@]}"
fi
