#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, which use only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build
cd review/standins-3
GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -o ../../build/review-3-lab .
