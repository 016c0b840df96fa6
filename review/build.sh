#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They use only the standard library.
set -eu
cd "$(dirname "$0")/standins"
GOFLAGS=-mod=mod GOPROXY=off CGO_ENABLED=0 go build -buildvcs=false -o ../bin/ ./case...
