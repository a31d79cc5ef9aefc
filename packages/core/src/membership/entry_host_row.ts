/** An entry host that was ever registered and not removed; holds a floor. */
export type EntryHostRow = {
  host: string;
  dataCentre: string;
  publicAddress: string;
  internalAddress: string;
  incarnation: string;
};
