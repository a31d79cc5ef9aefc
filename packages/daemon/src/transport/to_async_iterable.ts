import type { Observable } from "rxjs";

/**
 * Turns a stream into an async iterable for connect. It listens from this
 * call on; what comes while the consumer is busy waits in order. Leaving the
 * loop unsubscribes.
 */
export function toAsyncIterable<Value>(
  source: Observable<Value>,
): AsyncIterable<Value> {
  const waiting: Value[] = [];
  let done = false;
  let wake = () => {};
  const finish = () => {
    done = true;
    wake();
  };
  const subscription = source.subscribe({
    next: (value) => {
      waiting.push(value);
      wake();
    },
    error: finish,
    complete: finish,
  });
  async function* iterate(): AsyncGenerator<Value> {
    try {
      while (true) {
        while (waiting.length > 0) yield waiting.shift()!;
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
