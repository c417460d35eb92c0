#!/bin/bash
# A planned replacement of a core machine, while another one is down, and then the loss of a third
# disk. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
# leaves out the kill and the lost disk.
case=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$case/../.." || exit 2
[ -x target/borageleadd ] && [ -x target/review2-standin ] || { echo "build first: the deploy file's build line, then review/build-2.sh"; exit 2; }
exec target/review2-standin quorum "$case/record.txt"
