/** The claims table's key: one idempotency key of one workspace. */
export function claimId(row: { workspace: string; key: string }): string {
  return `${row.workspace}\n${row.key}`;
}
