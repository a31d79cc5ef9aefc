/** Whether a write failed for want of space. */
export function isDiskFull(error: unknown): boolean {
  const code = (error as { code?: string }).code;
  return code === "ENOSPC" || code === "EDQUOT";
}
