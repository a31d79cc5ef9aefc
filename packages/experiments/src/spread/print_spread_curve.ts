import { createSeededRandom } from "@teaselrouter/core/random/create_seeded_random.ts";
import type { ChunkRanking } from "@teaselrouter/core/spread/chunk_ranking.ts";
import { defaultSpreadOptions } from "@teaselrouter/core/spread/default_spread_options.ts";
import { InOrderRanking } from "@teaselrouter/core/spread/in_order_ranking.ts";
import { RandomRanking } from "@teaselrouter/core/spread/random_ranking.ts";
import { RarestRanking } from "@teaselrouter/core/spread/rarest_ranking.ts";
import type { SpreadPolicy } from "@teaselrouter/core/spread/spread_policy.ts";
import type { SpreadObjective } from "@teaselrouter/core/spread/spread_objective.ts";
import { PeerExchangePolicy } from "@teaselrouter/core/spread/peer_exchange_policy.ts";
import { formatTable } from "@teaselrouter/operator/output/format_table.ts";
import { FluidSpreadModel } from "./fluid_spread_model.ts";
import { OriginOnlyPolicy } from "./origin_only_policy.ts";
import { computeSpreadBounds } from "./compute_spread_bounds.ts";

/** Bandwidths, in copies of the weights per unit of time. */
const HOST_BANDWIDTH = 2;
const ORIGIN_BANDWIDTH = 4;
const MAX_TIME = 30;
const SEED = 5;

type Options = {
  dataCentres: number;
  regionBandwidth: number;
  hostCounts: number[];
  chunks: number;
  /** Planner options that replace the default ones. */
  overrides?: Record<string, number>;
};

function createRandom(dataCentre: string): () => number {
  return createSeededRandom(SEED + Number(dataCentre.slice(2)));
}

function createPolicyFactory(
  objective: SpreadObjective,
  options: Options,
  rankingFor: (random: () => number) => ChunkRanking,
) {
  return (dataCentre: string): SpreadPolicy => {
    const random = createRandom(dataCentre);
    return new PeerExchangePolicy({
      objective,
      random,
      ranking: rankingFor(random),
      ...defaultSpreadOptions,
      ...options.overrides,
    });
  };
}

/**
 * Prints the time and the copies of the weights transferred, by number of hosts
 * and policy, and the lower bounds of the time.
 */
export function printSpreadCurve(options: Options): void {
  const { dataCentres, regionBandwidth, chunks } = options;
  const rarest = () => new RarestRanking();
  const policies: Record<string, (dataCentre: string) => SpreadPolicy> = {
    "rarest, time": createPolicyFactory("time", options, rarest),
    "rarest, bytes": createPolicyFactory("origin-bytes", options, rarest),
    "random, time": createPolicyFactory(
      "time",
      options,
      (random) => new RandomRanking(random),
    ),
    "in order, time": createPolicyFactory(
      "time",
      options,
      () => new InOrderRanking(),
    ),
    "origin only": () => new OriginOnlyPolicy(),
  };
  const links = {
    dataCentres,
    hostBandwidth: HOST_BANDWIDTH,
    originBandwidth: ORIGIN_BANDWIDTH,
    regionBandwidth,
  };
  const rows = options.hostCounts.flatMap((hosts) =>
    Object.entries(policies).map(([name, policyFor]) => {
      const model = new FluidSpreadModel({
        ...links,
        hosts,
        chunks,
        policyFor,
      });
      const result = model.run(MAX_TIME);
      return [
        hosts,
        name,
        result.time === Infinity ? `>${MAX_TIME}` : result.time.toFixed(3),
        result.originCopies.toFixed(2),
        result.maxInboundCopies.toFixed(2),
        result.planMicroseconds.toFixed(1),
      ];
    })
  );
  const bounds = Object.entries(
    computeSpreadBounds({ ...links, hosts: Math.max(...options.hostCounts) }),
  ).map(([name, time]) => `${name} ${time.toFixed(3)}`);
  console.log(
    `\nseed ${SEED}; ${dataCentres} data centres, ${chunks} chunks, ` +
      `region link ${regionBandwidth} copies per unit of time`,
  );
  console.log(`lower bounds of the time: ${bounds.join(", ")}`);
  console.log(formatTable(
    ["N", "POLICY", "TIME", "ORIGIN COPIES", "INBOUND", "US/PLAN"],
    rows,
  ));
}
