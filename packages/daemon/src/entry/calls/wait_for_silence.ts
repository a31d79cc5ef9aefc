import { monotonicMilliseconds } from "../../transport/monotonic_milliseconds.ts";
import type { ExchangeStream } from "./exchange_stream.ts";

/** Waits until a stream counts as silent, or until `stop` is called. */
export function waitForSilence(
  stream: ExchangeStream,
): { found: Promise<undefined>; stop: () => void } {
  let timer: NodeJS.Timeout | undefined;
  let find: () => void = () => undefined;
  const found = new Promise<undefined>((resolve) => {
    find = () => resolve(undefined);
  });
  const check = () => {
    clearTimeout(timer);
    const left = stream.silentAt - monotonicMilliseconds();
    if (left <= 0) find();
    else timer = setTimeout(check, left);
  };
  const dropped = stream.connection.dropped$.subscribe(check);
  check();
  return {
    found,
    stop: () => {
      clearTimeout(timer);
      dropped.unsubscribe();
    },
  };
}
