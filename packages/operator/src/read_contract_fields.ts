type Options = Record<string, unknown>;

const NUMBERS: Record<string, string> = {
  rate: "requests_per_second",
  burst: "burst",
  "guaranteed-share": "guaranteed_share",
  deadline: "deadline_milliseconds",
  priority: "priority",
  "maximum-body": "maximum_body_bytes",
};

/** Takes the contract's fields out of the command line's options. */
export function contractFields(options: Options): Record<string, unknown> {
  const fields: Record<string, unknown> = {};
  for (const [option, field] of Object.entries(NUMBERS)) {
    if (options[option] !== undefined) fields[field] = options[option];
  }
  if (options["services"] !== undefined) {
    fields["services"] = String(options["services"]).split(",");
  }
  return fields;
}
