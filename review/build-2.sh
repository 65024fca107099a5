#!/bin/sh
# Builds the stand-ins of the scripts of the second review, after the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-stand2 ./review/_stand2
