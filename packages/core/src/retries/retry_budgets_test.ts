import assert from "node:assert/strict";
import { test } from "node:test";
import { RetryBudgets } from "./retry_budgets.ts";

const BOUND = { ratio: 0.2, slack: 90, windowMilliseconds: 10_000 };

function build(
  { hosts = undefined, slack = 0 }: { hosts?: number; slack?: number } = {},
) {
  return new RetryBudgets({
    bound: { ...BOUND, slack },
    countHosts: () => hosts,
    now: 0,
  });
}

function spendAll(budgets: RetryBudgets, service: string, now: number): number {
  let spent = 0;
  while (budgets.purseOf(service, now).trySpend(now)) spent += 1;
  return spent;
}

function countRequests(
  budgets: RetryBudgets,
  service: string,
  { requests, now }: { requests: number; now: number },
): void {
  for (let request = 0; request < requests; request += 1) {
    budgets.countRequest(service, now, now);
  }
}

// Guards against a service that fails as a whole and spends what others earned.
test("requests earn retries for their own service only", () => {
  const budgets = build();
  countRequests(budgets, "large", { requests: 1_000, now: 100 });
  countRequests(budgets, "small", { requests: 31, now: 100 });
  assert.equal(spendAll(budgets, "small", 200), 3);
  assert.ok(spendAll(budgets, "large", 200) >= 99);
});

test("retries stay within half of the ratio of the requests", () => {
  const budgets = build();
  let spent = 0;
  for (let now = 0; now < 1_000; now += 1) {
    countRequests(budgets, "any", { requests: 1, now });
    spent += spendAll(budgets, "any", now);
  }
  assert.ok(spent <= 1_000 * 0.1, `${spent}`);
  assert.ok(spent >= 99, `${spent}`);
});

// Guards against a process that is started ten times a minute and has saved
// retries at each start.
test("a process starts without retries", () => {
  const budgets = build({ hosts: 1, slack: 1_000 });
  assert.equal(spendAll(budgets, "any", 0), 0);
});

// Guards against retries of the past that meet few requests now.
test("retries that aren't spent expire", () => {
  const budgets = build();
  countRequests(budgets, "any", { requests: 100, now: 1_000 });
  assert.ok(budgets.purseOf("any", 4_000).hasRetry(4_000));
  assert.equal(spendAll(budgets, "any", 6_100), 0);
});

// Guards against a service with a request now and then that is never sent again.
test("the slack is earned with time, divided among the hosts", () => {
  const budgets = build({ hosts: 3, slack: 90 });
  for (let now = 100; now <= 20_000; now += 100) budgets.observe(now);
  const spent = spendAll(budgets, "quiet", 20_000);
  assert.ok(spent >= 6 && spent <= 7, `${spent}`);
  assert.equal(spendAll(budgets, "quiet", 20_010), 0);
  assert.ok(
    spendAll(budgets, "other", 20_010) >= 6,
    "each service has its own",
  );
});

// Guards against a host that goes on with a part that it no longer has, and one
// that is paid for time in which it stood still.
test("no slack is earned while the hosts aren't counted, nor in a long pause", () => {
  let hosts: number | undefined = 1;
  const budgets = new RetryBudgets({
    bound: BOUND,
    countHosts: () => hosts,
    now: 0,
  });
  budgets.observe(60_000);
  assert.equal(spendAll(budgets, "any", 60_000), 0);
  hosts = undefined;
  for (let now = 60_100; now <= 70_000; now += 100) budgets.observe(now);
  assert.equal(spendAll(budgets, "any", 70_000), 0);
});

// Guards against services of old configurations that are kept for good, and
// against one that gets what it had spent by being forgotten.
test("a service that is forgotten has neither more nor less than before", () => {
  const [kept, forgetting] = [1, 2].map(() => build({ hosts: 3, slack: 90 }));
  for (let now = 100; now <= 30_000; now += 100) {
    for (const budgets of [kept!, forgetting!]) {
      budgets.observe(now);
      if (now % 7_000 === 0) spendAll(budgets, "rare", now);
    }
    forgetting!.expire(now);
  }
  assert.ok(
    Math.abs(
      kept!.purseOf("rare", 30_000).left(30_000) -
        forgetting!.purseOf("rare", 30_000).left(30_000),
    ) < 1e-6,
  );
});

// Guards against a bound that is believed after the settings say another, and
// against retries that the last one's ratio has earned.
test("a changed bound holds at once", () => {
  const budgets = build();
  countRequests(budgets, "any", { requests: 1_000, now: 100 });
  budgets.replaceBound({ ...BOUND, slack: 0 }, 200);
  assert.ok(budgets.purseOf("any", 200).left(200) >= 99, "nothing has changed");
  budgets.replaceBound({ ...BOUND, ratio: 0.02, slack: 0 }, 200);
  assert.equal(spendAll(budgets, "any", 200), 0);
  countRequests(budgets, "any", { requests: 101, now: 300 });
  assert.equal(spendAll(budgets, "any", 300), 1);
});
