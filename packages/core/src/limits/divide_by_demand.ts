type Demand = { host: string; rate: number };

/**
 * Divides `total` among hosts by max-min fairness: a host whose demand is less
 * than an equal share gets its demand, and the others share the remainder. What
 * is left when the demands of all hosts are met is divided equally.
 */
export function divideByDemand(
  total: number,
  demands: Demand[],
): Map<string, number> {
  const shares = new Map<string, number>();
  const byDemand = demands.toSorted((a, b) => a.rate - b.rate);
  let remaining = total;
  let hosts = byDemand.length;
  for (const { host, rate } of byDemand) {
    const share = Math.min(rate, remaining / hosts);
    shares.set(host, share);
    remaining -= share;
    hosts -= 1;
  }
  const surplus = remaining / Math.max(1, byDemand.length);
  for (const [host, share] of shares) shares.set(host, share + surplus);
  return shares;
}
