#!/bin/sh
# Builds the scripts' programs with the compiler alone; they need no packages.
set -e
cd "$(dirname "$0")/../.."
mkdir -p target/review-2
for case in unframed seal watch route term shrink; do
    rustc --edition 2021 -O -o "target/review-2/$case" review/p1-$case/main.rs
done
