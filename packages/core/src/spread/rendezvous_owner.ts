import { hashText } from "../random/hash_text.ts";

/**
 * Picks one of `names` for `key` by rendezvous hashing: all who know the
 * same names pick the same, and a name that goes moves only its own keys.
 */
export function rendezvousOwner(key: string, names: string[]): string {
  let owner = "";
  let best = -1;
  for (const name of names) {
    const score = hashText(`${name}\n${key}`);
    if (score > best || (score === best && name < owner)) {
      [owner, best] = [name, score];
    }
  }
  return owner;
}
