#!/usr/bin/env bash
# Fails if a name of the platform's wire protocol is used in src/, trial/ or bench/. Only
# platform/ decodes these names, so that a name that the platform changes is changed in one place.
set -euo pipefail
cd "$(dirname "$0")/.."
pattern='sorrelplank-(tenant|expect-instance|server-stamp|server-load|affinity-key|not-executed|instance-id)'
pattern+='|sorrelplank/(resolve|ready|kv-)|op/(config|evacuate)|StoreRevision|TtlS'
pattern+='|MaxAttempts|TargetLatencyS|SessionAffinity|HomeRegions|ColdLeftS|ColdPerS|MaxBodyBytes|ApiKeys|RatePerS'
if git ls-files 'src/*' 'trial/*' 'bench/*' | grep -v '\.pb\.' | xargs grep -nE "$pattern"; then
  echo "wire names: found outside platform/ (see above)" >&2
  exit 1
fi
echo "wire names: only in platform/"
