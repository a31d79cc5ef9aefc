/** Times are from `performance.now()`, milliseconds. */
type Span = { from: number; to: number };

/** Bounds of the platform's rules, milliseconds. */
export type ConfigurationBounds = {
  /** From an acknowledgement until the version is in force. */
  apply: number;
  /** From the end of a disruption until a gateway is in touch again. */
  contact: number;
};

/** What the operator and the clients of a day saw. */
export type ConfigurationRecord = {
  bounds: ConfigurationBounds;
  /** Documents by version, as sent; two operators may send two for one. */
  documents: Map<number, string[]>;
  /** Versions of documents that had to be refused. */
  invalidVersions: Set<number>;
  /** One entry for each acknowledgement of a valid change. */
  acknowledgements: { version: number; at: number }[];
  /** Valid changes that were refused, and invalid ones that were taken. */
  wrongAnswers: { version: number; status: number; what: string }[];
  /** Answered reads; the document is undefined for a 503. */
  reads: (Span & { host: string; document: string | undefined })[];
  /** What a request showed of the version that its gateway obeys. */
  observations: (Span & {
    gateway: string;
    /** The gateway obeys a version of at least this; undefined if not shown. */
    atLeast: number | undefined;
    /** It obeys an older version than this; undefined if not shown. */
    olderThan: number | undefined;
  })[];
  /** Requests on the first route and on routes that were added later. */
  requests: {
    at: number;
    gateway: string;
    isAdded: boolean;
    served: boolean;
  }[];
  /**
   * Times in which hosts were away, in a trouble of the day or for want of a
   * processor; gateways are named by address.
   */
  absences: (Span & { hosts: string[]; isCore: boolean; isTrouble: boolean })[];
};
