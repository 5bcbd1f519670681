#!/usr/bin/env bash
# Plays the case. TROUBLE=0 plays it without the disruption. The exit status is 1 if the
# rule was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
case=target/review-2/case-9
if [ ! -x target/balsamproxy ] || [ ! -x "$case" ]; then
	echo "first run the build of deploy/system.toml and review/build-2.sh" >&2
	exit 2
fi
exec "$case" review/9
