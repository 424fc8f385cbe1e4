#!/bin/sh
# Builds the stand-ins of the cases from 11 on. They need nothing but the compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standins-3 review/standins-3/main.rs
rustc --edition 2021 -O -A dead_code -o target/review-3/joined-again review/standins-3/joined_again.rs
rustc --edition 2021 -O -A dead_code -o target/review-3/taken-up review/standins-3/taken_up.rs
rustc --edition 2021 -O -A dead_code -o target/review-3/blamed-part review/standins-3/blamed_part.rs
