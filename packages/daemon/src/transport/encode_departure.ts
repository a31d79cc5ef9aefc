import { create } from "@bufbuild/protobuf";
import type { Departure } from "@teaselrouter/core/departures/departure.ts";
import {
  BackendState,
  type Departure as DepartureMessage,
  DepartureSchema,
} from "@teaselrouter/messages/follow.ts";

/**
 * Encodes a departure for another process.
 *
 * @param ageMilliseconds since a control host was told
 */
export function encodeDeparture(
  { instance, bornAt, sequence, state, at }: Departure,
  ageMilliseconds: number,
): DepartureMessage {
  return create(DepartureSchema, {
    instance,
    ...(bornAt !== undefined && { bornAt }),
    sequence,
    state: state === "gone" ? BackendState.GONE : BackendState.LEAVING,
    at,
    ageMilliseconds,
  });
}
