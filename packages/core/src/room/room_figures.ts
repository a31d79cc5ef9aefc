/** What a refusal for want of room rests on. */
export type RoomFigures = {
  /** Slots that fall to this host. */
  slots: number;
  /** Of these, slots that more urgent requests are expected to take. */
  keptSlots: number;
  /** When a slot was expected, milliseconds from the decision. */
  slotWaitMilliseconds: number;
  /** Requests a second that its workspace asks for; undefined without one. */
  workspaceAsked: number | undefined;
  /** Requests a second that its workspace has used. */
  workspaceUsed: number | undefined;
  /** Requests a second that its workspace's share is. */
  workspaceShare: number | undefined;
  /** Age of the figures on slots, milliseconds. */
  ageMilliseconds: number;
};
