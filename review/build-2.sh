#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 9.
set -eu
cd "$(dirname "$0")/.."
go build -o target/lab2 ./review/_lab2
