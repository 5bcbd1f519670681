#!/usr/bin/env bash
# Without the disruption: TROUBLE=0 bash review/4/run.sh
exec bash "$(dirname "$0")/../run-case.sh" queued "review/4"
