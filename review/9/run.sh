#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves out the disruption.
# Writes what was sent, answered and run to record.txt in this folder.
here=$(cd "$(dirname "$0")" && pwd)
CASE=9
RECORD="$here/record.txt"
. "$here/../run-2.sh"
