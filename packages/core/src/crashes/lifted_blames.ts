import type { Blame } from "./blame.ts";

const MAX_LIFTED_BLAMES = 1_024;

/**
 * Blames that good ends have lifted, with the crashes that they were
 * for. A host that was cut off meanwhile still holds them.
 */
export class LiftedBlames {
  /** Incarnations by the blame's name; the latest is last. */
  #incarnations = new Map<string, Set<string>>();

  record(name: string, incarnations: Iterable<string>): void {
    const known = this.#incarnations.get(name) ?? [];
    this.#incarnations.delete(name);
    this.#incarnations.set(name, new Set([...known, ...incarnations]));
    if (this.#incarnations.size <= MAX_LIFTED_BLAMES) return;
    this.#incarnations.delete(this.#incarnations.keys().next().value!);
  }

  /** Whether the blame was lifted, and is for no later crash. */
  has({ fingerprint, incarnations }: Blame): boolean {
    const known = this.#incarnations.get(fingerprint);
    return known !== undefined &&
      incarnations.every((incarnation) => known.has(incarnation));
  }
}
