/** Whether a write failed because the disk or the quota is full. */
export function isDiskFull(error: unknown): boolean {
  const code = (error as { code?: string }).code;
  return code === "ENOSPC" || code === "EDQUOT";
}
