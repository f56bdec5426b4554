#!/usr/bin/env bash
# Generates the message and settings classes (gen_*.py) from the JSON schemas.
# Usage: generate.sh [DIRECTORY]; the default directory is the package itself.
set -eu
cd "$(dirname "$0")/.."
out_dir=${1:-primrosewood}
for name in wire stored team process keys caller node; do
  "${PYTHON:-python3}" -W ignore -m datamodel_code_generator \
    --input "primrosewood/schema/$name.json" --input-file-type jsonschema \
    --output "$out_dir/gen_$name.py" --output-model-type msgspec.Struct \
    --target-python-version 3.11 --use-annotated --field-constraints \
    --use-msgspec-forbid-unknown-fields --use-schema-description \
    --use-field-description --use-union-operator --use-standard-collections \
    --disable-timestamp --keep-model-order --enum-field-as-literal all \
    --custom-file-header "\"\"\"Generated from schema/$name.json by tools/generate.sh.\"\"\""
done
# Wire messages are encoded as arrays of their fields in order: a heartbeat then
# takes a quarter of the bytes, and a newer peer may append fields with defaults.
sed -i 's/(Struct, forbid_unknown_fields=True)/(Struct, array_like=True)/' "$out_dir/gen_wire.py"
