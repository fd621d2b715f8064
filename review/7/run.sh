#!/bin/sh
# 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/yokefall ] && [ -x target/review-2/review-2 ] || exit 2
exec target/review-2/review-2 unrouted review/7/record.txt
