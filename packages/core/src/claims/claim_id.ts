/** Returns the claims table's key for an idempotency key of a workspace. */
export function claimId(row: { workspace: string; key: string }): string {
  return `${row.workspace}\n${row.key}`;
}
