#!/usr/bin/env bash
# Builds the programs of the scripts in review/6 and on: clients, servers and the stand-in
# of the platform's store are part of each of them.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/6
