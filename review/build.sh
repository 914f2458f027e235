#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. The programs under test are built by the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/ ./review/stand
