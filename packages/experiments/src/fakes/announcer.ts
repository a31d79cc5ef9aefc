const EVERY_MILLISECONDS = 1_000;
const CALL_MILLISECONDS = 900;

type Announcement = {
  service: string;
  address: string;
  checks_fencing: boolean;
  repeatable: boolean;
  uses_weights: boolean;
  slots: number;
};

/** Announces a fake backend server to its agent, over and over. */
export class Announcer {
  #timer: NodeJS.Timeout;

  constructor(agentAddress: string, announcement: Announcement) {
    const announce = () => {
      fetch(`http://${agentAddress}/v1/announce`, {
        method: "POST",
        body: JSON.stringify(announcement),
        signal: AbortSignal.timeout(CALL_MILLISECONDS),
      }).then((answer) => answer.text()).catch(() => undefined);
    };
    announce();
    this.#timer = setInterval(announce, EVERY_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }
}
