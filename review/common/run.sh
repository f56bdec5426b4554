#!/usr/bin/env bash
# Plays the case in the folder $1: exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run.
cd "$1" || exit 2
bash ../build.sh || exit 2
PYTHONPATH=../../target/deps PYTHONDONTWRITEBYTECODE=1 timeout 110 \
  python3 case.py
case $? in
  0) exit 0 ;;
  41) exit 1 ;;
  *) exit 2 ;;
esac
