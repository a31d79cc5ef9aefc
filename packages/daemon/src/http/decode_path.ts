/**
 * Splits a path into its decoded segments; empty, which no path of ours is, for
 * one that can't be decoded.
 */
export function decodePath(path: string): string[] {
  try {
    return path.split("/").slice(1).map(decodeURIComponent);
  } catch {
    return [];
  }
}
