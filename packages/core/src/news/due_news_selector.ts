import { NewsBudget } from "./news_budget.ts";

/** A change by less than this part of the larger value can wait. */
const CHANGE_SHARE = 0.2;

type Options = {
  /** What has not changed is told again so often. */
  restMilliseconds: number;
  mostPerSecond: number;
};

type Item = { key: string; value: number };

/** Chooses which of many values to tell now: changed ones, then the oldest. */
export class DueNews {
  #options: Options;
  #budget: NewsBudget;
  #told = new Map<string, { value: number; at: number }>();

  constructor(options: Options) {
    this.#options = options;
    this.#budget = new NewsBudget(options.mostPerSecond);
  }

  /** Those that are chosen count as told; what is left out is forgotten. */
  select<Kind extends Item>(items: Kind[], now: number): Kind[] {
    const live = new Set(items.map(({ key }) => key));
    for (const key of [...this.#told.keys()]) {
      if (!live.has(key)) this.#told.delete(key);
    }
    const due = items.filter((item) => this.#isDue(item, now))
      .sort((left, right) => this.#toldAt(left) - this.#toldAt(right));
    const chosen = due.slice(0, this.#budget.take(due.length, now));
    for (const { key, value } of chosen) {
      this.#told.set(key, { value, at: now });
    }
    return chosen;
  }

  #isDue({ key, value }: Item, now: number): boolean {
    const told = this.#told.get(key);
    if (told === undefined) return true;
    if (now - told.at >= this.#options.restMilliseconds) return true;
    const change = Math.abs(value - told.value);
    return change > CHANGE_SHARE * Math.max(value, told.value);
  }

  #toldAt({ key }: Item): number {
    return this.#told.get(key)?.at ?? -Infinity;
  }
}
