#!/usr/bin/env bash
# Builds the program that the scripts of the cases 11 to 13 start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
go build -o ../../target/review-cases-3 .
