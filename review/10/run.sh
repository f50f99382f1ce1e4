#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves out the disruption.
CASE=10
. "$(dirname "$0")/../lib-2/run.sh"
