#!/usr/bin/env bash
# Builds the program that the scripts of the cases 6 to 10 start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
go build -o ../../target/review-cases-2 .
