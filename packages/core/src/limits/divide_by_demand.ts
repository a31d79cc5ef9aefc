type Demand = { host: string; wanted: number };

/**
 * Divides `total` among hosts by max-min fairness: a host that wants less than
 * an equal share gets what it wants, and the others share the remainder. What
 * is left when all hosts have what they want is divided equally.
 */
export function divideByDemand(
  total: number,
  demands: Demand[],
): Map<string, number> {
  const shares = new Map<string, number>();
  const byDemand = demands.toSorted((a, b) => a.wanted - b.wanted);
  let remaining = total;
  let hosts = byDemand.length;
  for (const { host, wanted } of byDemand) {
    const share = Math.min(wanted, remaining / hosts);
    shares.set(host, share);
    remaining -= share;
    hosts -= 1;
  }
  const surplus = remaining / Math.max(1, byDemand.length);
  for (const [host, share] of shares) shares.set(host, share + surplus);
  return shares;
}
