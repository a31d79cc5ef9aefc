type Options = Record<string, unknown>;

const FIELD_BY_OPTION: Record<string, string> = {
  rate: "requests_per_second",
  burst: "burst",
  "guaranteed-share": "guaranteed_share",
  deadline: "deadline_milliseconds",
  priority: "priority",
  "maximum-body": "maximum_body_bytes",
};

/** Reads a contract's fields from the command-line options that are given. */
export function readContractFields(options: Options): Record<string, unknown> {
  const fields: Record<string, unknown> = {};
  for (const [option, field] of Object.entries(FIELD_BY_OPTION)) {
    if (options[option] !== undefined) fields[field] = options[option];
  }
  if (options["services"] !== undefined) {
    fields["services"] = String(options["services"]).split(",");
  }
  return fields;
}
