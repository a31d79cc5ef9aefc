const ANNOUNCE_INTERVAL_MILLISECONDS = 1_000;
const ANNOUNCE_TIMEOUT_MILLISECONDS = 900;

type Announcement = {
  service: string;
  address: string;
  checks_fencing: boolean;
  repeatable: boolean;
  uses_weights: boolean;
  slots: number;
};

/** Announces a fake backend server to its agent every second. */
export class Announcer {
  #timer: NodeJS.Timeout;

  /**
   * @param untilAwake resolves at once, or at the end of the backend server's
   * silence.
   */
  constructor(
    agentAddress: string,
    announcement: Announcement,
    untilAwake = () => Promise.resolve(),
  ) {
    const announce = async () => {
      await untilAwake();
      fetch(`http://${agentAddress}/v1/announce`, {
        method: "POST",
        body: JSON.stringify(announcement),
        signal: AbortSignal.timeout(ANNOUNCE_TIMEOUT_MILLISECONDS),
      }).then((response) => response.text()).catch(() => undefined);
    };
    announce();
    this.#timer = setInterval(announce, ANNOUNCE_INTERVAL_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }
}
