#!/bin/sh
# Builds the stand-ins that the scripts of the second review start.
set -eu
cd "$(dirname "$0")/.."
go build -C review/standin-2 -o ../../target/review-standin-2 .
