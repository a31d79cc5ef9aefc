/** What a day of servers that end in many ways is otherwise about. */
export type EndingDayKind = "harm" | "budget" | "pushback";
