/** One workspace's part of the room, in requests a second. */
export type WorkspaceShare = {
  workspace: string;
  asked: number;
  used: number;
  share: number;
};
