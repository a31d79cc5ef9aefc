import { weightsMargins } from "./weights_margins.ts";

/**
 * From when on gateways send nothing to weights that were overtaken: there is
 * nothing left that a turn would spare, and waiting for one only idles the
 * engine. The version that ends their use may have been named long ahead of
 * the target, while the weight store was down or a later one was named.
 *
 * @param overtakenAt when the next version was named, milliseconds.
 * @param boundMilliseconds how long requests may then still begin on them.
 */
export function weightsUnusedAt(
  overtakenAt: number,
  boundMilliseconds: number,
): number {
  const { giveUpMilliseconds, beginMilliseconds } = weightsMargins;
  return overtakenAt + boundMilliseconds - giveUpMilliseconds -
    beginMilliseconds;
}
