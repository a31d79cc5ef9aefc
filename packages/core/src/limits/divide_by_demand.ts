type Demand = { host: string; wanted: number };

/**
 * Divides `total` over hosts, max-min fair: whoever wants less than an equal
 * part gets what it wants, and the rest share what that leaves.
 */
export function divideByDemand(
  total: number,
  demands: Demand[],
): Map<string, number> {
  const shares = new Map<string, number>();
  const rising = demands.toSorted((left, right) => left.wanted - right.wanted);
  let left = total;
  let hosts = rising.length;
  for (const { host, wanted } of rising) {
    const share = Math.min(wanted, left / hosts);
    shares.set(host, share);
    left -= share;
    hosts -= 1;
  }
  const bonus = left / Math.max(1, rising.length);
  for (const [host, share] of shares) shares.set(host, share + bonus);
  return shares;
}
