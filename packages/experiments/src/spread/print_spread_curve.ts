import { seededRandom } from "@teaselrouter/core/random/seeded_random.ts";
import type { ChunkRanking } from "@teaselrouter/core/spread/chunk_ranking.ts";
import { defaultSpreadOptions } from "@teaselrouter/core/spread/default_spread_options.ts";
import { InOrderRanking } from "@teaselrouter/core/spread/in_order_ranking.ts";
import { RandomRanking } from "@teaselrouter/core/spread/random_ranking.ts";
import { RarestRanking } from "@teaselrouter/core/spread/rarest_ranking.ts";
import type { SpreadPolicy } from "@teaselrouter/core/spread/spread_policy.ts";
import type { SpreadWeighing } from "@teaselrouter/core/spread/spread_weighing.ts";
import { SwapPolicy } from "@teaselrouter/core/spread/swap_policy.ts";
import { formatTable } from "@teaselrouter/operator/output/format_table.ts";
import { FluidSpread } from "./fluid_spread.ts";
import { OriginOnlyPolicy } from "./origin_only_policy.ts";
import { spreadBounds } from "./spread_bounds.ts";

const HOST_LINK = 2;
const ORIGIN_LINK = 4;
const LIMIT = 30;
const SEED = 5;

type Options = {
  dataCentres: number;
  regionLink: number;
  sizes: number[];
  chunks: number;
  /** Planner settings to try instead of the usual ones. */
  trial?: Record<string, number>;
};

function randomOf(dataCentre: string): () => number {
  return seededRandom(SEED + Number(dataCentre.slice(2)));
}

function swapping(
  weighing: SpreadWeighing,
  options: Options,
  rankingFor: (random: () => number) => ChunkRanking,
) {
  return (dataCentre: string): SpreadPolicy => {
    const random = randomOf(dataCentre);
    return new SwapPolicy({
      weighing,
      random,
      ranking: rankingFor(random),
      ...defaultSpreadOptions,
      ...options.trial,
    });
  };
}

/** Prints time and copies over N for each policy, beside the bounds. */
export function spreadCurve(options: Options): void {
  const { dataCentres, regionLink, chunks } = options;
  const rarest = () => new RarestRanking();
  const policies: Record<string, (dataCentre: string) => SpreadPolicy> = {
    "rarest, time": swapping("time", options, rarest),
    "rarest, bytes": swapping("origin-bytes", options, rarest),
    "random, time": swapping(
      "time",
      options,
      (random) => new RandomRanking(random),
    ),
    "in order, time": swapping("time", options, () => new InOrderRanking()),
    "origin only": () => new OriginOnlyPolicy(),
  };
  const links = {
    dataCentres,
    hostLink: HOST_LINK,
    originLink: ORIGIN_LINK,
    regionLink,
  };
  const rows = options.sizes.flatMap((hosts) =>
    Object.entries(policies).map(([name, policyFor]) => {
      const model = new FluidSpread({ ...links, hosts, chunks, policyFor });
      const result = model.run(LIMIT);
      return [
        hosts,
        name,
        result.time === Infinity ? `>${LIMIT}` : result.time.toFixed(3),
        result.originCopies.toFixed(2),
        result.mostCrossings.toFixed(2),
        result.planMicroseconds.toFixed(1),
      ];
    })
  );
  const bounds = Object.entries(
    spreadBounds({ ...links, hosts: Math.max(...options.sizes) }),
  ).map(([name, time]) => `${name} ${time.toFixed(3)}`);
  console.log(
    `\nseed ${SEED}; ${dataCentres} data centres, ${chunks} chunks, ` +
      `region link ${regionLink} copies a unit of time`,
  );
  console.log(`least time by: ${bounds.join(", ")}`);
  console.log(formatTable(
    ["N", "POLICY", "TIME", "ORIGIN COPIES", "CROSSED", "US A PLAN"],
    rows,
  ));
}
