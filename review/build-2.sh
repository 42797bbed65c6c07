#!/bin/sh
# Builds the stand-ins, clients and checks of the cases 4 and up. The routers are built by deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/cases2
