# Functions shared by the example scripts. The environment variables below name the deployment.
: "${IBISWALL:?} ${ENTRY:?} ${OTHER_ENTRY:?} ${MEMBER_TOKEN:?} ${OPERATOR_TOKEN:?}"

member() {
  local command=$1
  shift
  "$IBISWALL" "$command" --entry "$ENTRY" --token "$MEMBER_TOKEN" "$@"
}

operator() {
  local command=$1
  shift
  "$IBISWALL" "$command" --entry "$ENTRY" --token "$OPERATOR_TOKEN" "$@"
}

# Prints one field of the JSON object on standard input. The field name must not occur again in nested objects.
field() {
  sed "s/.*\"$1\":\"\{0,1\}\([^\",}]*\).*/\1/"
}

# Plans a configuration change and confirms the plan. Usage: change WHY OPTIONS...
change() {
  local why=$1 plan
  shift
  plan=$(operator plan --json "$@")
  operator confirm "$@" --why "$why" --base-version "$(field base_version <<<"$plan")" --digest "$(field digest <<<"$plan")"
}
