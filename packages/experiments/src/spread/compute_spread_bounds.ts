type Links = {
  hosts: number;
  dataCentres: number;
  /** Copies of the model a unit of time. */
  hostLink: number;
  originLink: number;
  regionLink: number;
};

/** The least time that links allow, by what limits it. */
export function spreadBounds(links: Links): Record<string, number> {
  const { hosts, dataCentres, hostLink, originLink, regionLink } = links;
  const crossing = (dataCentres - 1) / dataCentres;
  return {
    origin: 1 / originLink,
    "host link": 1 / hostLink,
    "all uplinks": (hosts - 1) / (hosts * hostLink + originLink),
    "region link": crossing / regionLink,
    // Every data centre takes in a copy, from the origin or from others.
    inflow: dataCentres / (originLink + dataCentres * regionLink),
  };
}
