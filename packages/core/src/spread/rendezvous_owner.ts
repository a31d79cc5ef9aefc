import { hashText } from "../random/hash_text.ts";

/**
 * Chooses the one of `names` that owns `key` by rendezvous hashing. All
 * processes with the same names choose the same owner, and removing a name
 * reassigns only its own keys. Returns an empty string if `names` is empty.
 */
export function rendezvousOwner(key: string, names: string[]): string {
  let owner = "";
  let bestScore = -1;
  for (const name of names) {
    const score = hashText(`${name}\n${key}`);
    if (score > bestScore || (score === bestScore && name < owner)) {
      [owner, bestScore] = [name, score];
    }
  }
  return owner;
}
