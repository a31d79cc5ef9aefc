type Evacuations = {
  /** See `evacuationsIndex`. */
  index: number;
  dataCentres: readonly string[];
};

/** Which evacuations began and ended; each in order of names. */
type EvacuationChange = { begun: string[]; ended: string[] };

/**
 * The evacuations in force as far as this host was told. Control hosts may lag
 * behind each other, so only a later state replaces the known one.
 */
export class KnownEvacuations {
  #index = -1;
  #dataCentres: ReadonlySet<string> = new Set();

  /** Evacuated data centres; empty before the first state is known. */
  get dataCentres(): ReadonlySet<string> {
    return this.#dataCentres;
  }

  has(dataCentre: string): boolean {
    return this.#dataCentres.has(dataCentre);
  }

  /** Takes on a whole state, unless an equal or later one is known. */
  replace({ index, dataCentres }: Evacuations): EvacuationChange {
    if (index <= this.#index) return { begun: [], ended: [] };
    const before = this.#dataCentres;
    const after = new Set(dataCentres);
    this.#index = index;
    this.#dataCentres = after;
    return {
      begun: [...after].filter((name) => !before.has(name)).sort(),
      ended: [...before].filter((name) => !after.has(name)).sort(),
    };
  }
}
