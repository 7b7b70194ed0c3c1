#!/bin/sh
# A version that is bad on one route only; see claim.txt. TROUBLE=0: the same roll-out with a good version.
cd "$(dirname "$0")" && exec python3 play.py
