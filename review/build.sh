#!/bin/sh
# Builds the stand-ins that the scripts of the cases start: one program, bin/cases.
cd "$(dirname "$0")" && go build -o bin/ ./cases
