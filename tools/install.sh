#!/usr/bin/env bash
# Installs the Debian packages that the build, the checks and the tests need.
set -euo pipefail
packages=(g++ cmake ninja-build ccache pkg-config curl jq libboost-dev libboost-system-dev libgflags-dev
  libgoogle-glog-dev libyaml-cpp-dev nlohmann-json3-dev libcpputest-dev librapidcheck-dev libwebsocketpp-dev
  libssl-dev spin clang-format-19 clang-tidy-19)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
