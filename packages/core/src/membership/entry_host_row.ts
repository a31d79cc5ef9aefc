/**
 * An entry host that was registered and has not been removed. Each one, even
 * while stopped, holds its floor: the part of every contract's rate that it may
 * use while cut off.
 */
export type EntryHostRow = {
  host: string;
  dataCentre: string;
  publicAddress: string;
  internalAddress: string;
  /** Identifies one start of the entry process. */
  incarnation: string;
  /**
   * Whether it stopped as planned and takes no calls. It then sends no more
   * reports, and once its lease has expired, changes don't wait for it.
   */
  stopped: boolean;
};
