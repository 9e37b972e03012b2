#!/usr/bin/env bash
# Builds the program that the scripts of the cases start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o ../../target/review-cases .
