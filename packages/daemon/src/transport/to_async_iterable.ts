import type { Observable } from "rxjs";

/**
 * Converts an observable to an async iterable, as Connect streams need. It
 * subscribes in this call; values that arrive while the consumer is busy are
 * buffered in order, without a bound. Leaving the loop unsubscribes. An error
 * of the source ends the iteration like its completion.
 */
export function toAsyncIterable<Value>(
  source: Observable<Value>,
): AsyncIterable<Value> {
  const buffered: Value[] = [];
  let done = false;
  let wake = () => {};
  const finish = () => {
    done = true;
    wake();
  };
  const subscription = source.subscribe({
    next: (value) => {
      buffered.push(value);
      wake();
    },
    error: finish,
    complete: finish,
  });
  async function* iterate(): AsyncGenerator<Value> {
    try {
      while (true) {
        while (buffered.length > 0) yield buffered.shift()!;
        if (done) return;
        await new Promise<void>((resolve) => {
          wake = resolve;
        });
      }
    } finally {
      subscription.unsubscribe();
    }
  }
  return iterate();
}
