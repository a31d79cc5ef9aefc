/** An entry host that was ever registered and not removed; holds a floor. */
export type EntryHostRow = {
  host: string;
  dataCentre: string;
  publicAddress: string;
  internalAddress: string;
  incarnation: string;
  /** It stopped as planned: it takes no calls and holds no lease. */
  stopped: boolean;
};
