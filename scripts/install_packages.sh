#!/bin/sh
# Installs what the build needs. Does nothing, and asks for nothing, where all of it is there.
set -eu
PACKAGES="g++ make cmake ninja-build pkg-config clang-format clang-tidy git curl
libsigc++-3.0-dev libevent-dev libwebsocketpp-dev nlohmann-json3-dev prometheus-cpp-dev
libyaml-cpp-dev libdocopt-dev libgoogle-glog-dev libunwind-dev libboost-dev libboost-system-dev
catch2 libxxhash-dev librapidcheck-dev libsodium-dev zlib1g-dev"
missing=""
for package in $PACKAGES; do
    dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
SUDO=""
[ "$(id -u)" = 0 ] || SUDO=sudo
$SUDO apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $SUDO apt-get install -y -qq $missing >/dev/null
