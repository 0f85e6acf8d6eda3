#!/usr/bin/env bash
# Builds the programs of the review's scripts, stand-ins included.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/...
