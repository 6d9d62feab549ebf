#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. It needs no network after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/lab ./review/_lab
