#!/usr/bin/env bash
cd "$(dirname "$0")/../.." && exec node review/13/run.mjs
