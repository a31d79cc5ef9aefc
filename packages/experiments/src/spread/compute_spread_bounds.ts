type Network = {
  hosts: number;
  dataCentres: number;
  /** Bandwidths, in copies of the weights per unit of time. */
  hostBandwidth: number;
  originBandwidth: number;
  regionBandwidth: number;
};

/**
 * Computes lower bounds of the time of a spread, in the unit of time of the
 * bandwidths. The keys name the bandwidth that causes each bound.
 */
export function computeSpreadBounds(network: Network): Record<string, number> {
  const {
    hosts,
    dataCentres,
    hostBandwidth,
    originBandwidth,
    regionBandwidth,
  } = network;
  const remoteShare = (dataCentres - 1) / dataCentres;
  return {
    origin: 1 / originBandwidth,
    "host link": 1 / hostBandwidth,
    "all uplinks": (hosts - 1) / (hosts * hostBandwidth + originBandwidth),
    "region link": remoteShare / regionBandwidth,
    // Every data centre receives a copy, from the origin or from the others.
    inflow: dataCentres / (originBandwidth + dataCentres * regionBandwidth),
  };
}
