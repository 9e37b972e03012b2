#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 and following start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/standin-3
