#!/usr/bin/env bash
# Builds the cases of the second review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/ ./review/6 ./review/7 ./review/8 ./review/9 ./review/10
