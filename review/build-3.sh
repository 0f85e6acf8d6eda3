#!/usr/bin/env bash
# Builds what the scripts of the third review start beside the program of deploy/system.toml:
# caserun holds the stand-ins for the store (testbed/standin), the backends and the clients.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/caserun ./review/caserun
