#!/usr/bin/env bash
# Builds what the scripts of the cases from 11 on start, besides the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-harness3 ./review/harness3
