#!/usr/bin/env bash
# Without the disruption: TROUBLE=0 bash review/5/run.sh
exec bash "$(dirname "$0")/../run-case.sh" stopping "review/5"
