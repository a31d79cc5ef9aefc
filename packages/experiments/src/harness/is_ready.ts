/** Whether an entry host says it is ready for callers. */
export async function isReady(entry: string): Promise<boolean> {
  try {
    const answer = await fetch(`${entry}/ready`);
    await answer.text();
    return answer.status === 200;
  } catch {
    return false;
  }
}
