/** Whether an entry host reports that it is ready for callers. */
export async function isReady(entry: string): Promise<boolean> {
  try {
    const response = await fetch(`${entry}/ready`);
    await response.text();
    return response.status === 200;
  } catch {
    return false;
  }
}
