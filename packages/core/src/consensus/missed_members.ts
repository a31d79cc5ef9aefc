import type { MemberSilence } from "@teaselrouter/messages/control.ts";

/** Shorter silences are usual on busy hosts, and begin anew with each leader. */
const TOLD_MILLISECONDS = 500;

/**
 * Since when members have been missed, over the terms of several leaders: each
 * tells the others, one of which leads next. Answers leaders that follow each
 * other faster than any of them would give a member up.
 */
export class MissedMembers {
  /** When members that the latest leader missed were heard, milliseconds. */
  #heardAt = new Map<string, number>();

  /** Takes over what the leader says; who isn't named isn't missed. */
  replace(silences: readonly MemberSilence[], now: number): void {
    this.#heardAt = new Map(
      silences.map(({ id, milliseconds }) => [id, now - milliseconds]),
    );
  }

  /** When earlier leaders heard the member last; Infinity if not missed. */
  heardAt(id: string): number {
    return this.#heardAt.get(id) ?? Infinity;
  }

  /** What a leader tells of members, by when each was heard last. */
  static list(
    members: { id: string; heardAt: number }[],
    now: number,
  ): { id: string; milliseconds: number }[] {
    return members
      .map(({ id, heardAt }) => ({ id, milliseconds: now - heardAt }))
      .filter(({ milliseconds }) => milliseconds >= TOLD_MILLISECONDS);
  }
}
