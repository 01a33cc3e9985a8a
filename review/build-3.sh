#!/usr/bin/env bash
# Builds the stand-ins that the scripted cases of the third review start: the store, servers, clients
# and links in one program without dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
(cd review/standin-3 && GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/standin-3 .)
