/** What a gateway says of itself, so that it is counted. */
export type GatewayPresence = {
  host: string;
  /** Larger is later, also over starts of the process. */
  sequence: number;
  /**
   * The smallest number of gateways by which it divides the rate of a cold
   * backend server until it is told of a later presence; 0 if it sends cold
   * ones nothing until then.
   */
  gateways: number;
};
