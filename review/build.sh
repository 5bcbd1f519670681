#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/standin
