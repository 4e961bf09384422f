#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin/, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/ ./review/...
