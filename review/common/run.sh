#!/usr/bin/env bash
# Plays the case in the folder $1: exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run. Ends all processes that it started, also
# when it is interrupted or the case itself is killed.
cd "$1" || exit 2
bash ../build.sh || exit 2
# The case writes the ids of the programs that it starts to this file.
REVIEW_PROCESS_IDS=$(mktemp)
export REVIEW_PROCESS_IDS

end_programs() {
  xargs -r kill -KILL < "$REVIEW_PROCESS_IDS" 2> /dev/null
  rm -f "$REVIEW_PROCESS_IDS"
}
trap end_programs EXIT

PYTHONPATH=../../target/deps PYTHONDONTWRITEBYTECODE=1 timeout 110 \
  python3 case.py &
case_process=$!
trap 'kill -TERM "$case_process" 2> /dev/null' TERM INT HUP
wait "$case_process"
code=$?
# A signal ends the first wait before the case has ended its programs.
while kill -0 "$case_process" 2> /dev/null; do
  wait "$case_process"
  code=$?
done
case $code in
  0) exit 0 ;;
  41) exit 1 ;;
  *) exit 2 ;;
esac
