#!/bin/sh
# Builds the stand-ins that the scripts start. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -C review/standin -o ../../target/review-standin .
