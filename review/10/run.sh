#!/usr/bin/env bash
exec "$(dirname "$0")/../run-2.sh" 10 agent
