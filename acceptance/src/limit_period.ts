/** A limit that a backend server named; moments in `performance`'s ms. */
export type Limited = { perSecond: number; from: number; to: number };
