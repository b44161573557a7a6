/** Counters of bytes and messages between entry VMs, by method or datagram kind. */

export interface Traffic {
  messagesIn: number;
  messagesOut: number;
  bytesIn: number;
  bytesOut: number;
}

/** Reasons for which a message is dropped. */
export enum DropReason {
  BadTag = 'badTag',
  BadToken = 'badToken',
  Malformed = 'malformed',
  SendFailed = 'sendFailed',
}

export interface TransportCounters {
  /**
   * By method or datagram kind; segment transfers have the name `segment`, unknown paths `other`. HTTP
   * figures include headers and datagram figures include the tag; neither includes TCP, UDP and IP headers.
   */
  traffic: Record<string, Traffic>;
  dropped: Record<DropReason, number>;
}

export class TrafficCounters {
  private readonly traffic = new Map<string, Traffic>();

  private readonly dropped: Record<DropReason, number> = {
    [DropReason.BadTag]: 0,
    [DropReason.BadToken]: 0,
    [DropReason.Malformed]: 0,
    [DropReason.SendFailed]: 0,
  };

  countIn(name: string, bytes: number): void {
    const entry = this.getOrCreate(name);
    entry.messagesIn += 1;
    entry.bytesIn += bytes;
  }

  countOut(name: string, bytes: number): void {
    const entry = this.getOrCreate(name);
    entry.messagesOut += 1;
    entry.bytesOut += bytes;
  }

  countDrop(reason: DropReason): void {
    this.dropped[reason] += 1;
  }

  read(): TransportCounters {
    const entries = [...this.traffic].map(([name, entry]) => [name, { ...entry }] as const);
    return { traffic: Object.fromEntries(entries), dropped: { ...this.dropped } };
  }

  private getOrCreate(name: string): Traffic {
    const existing = this.traffic.get(name);
    if (existing !== undefined) return existing;
    const entry = { messagesIn: 0, messagesOut: 0, bytesIn: 0, bytesOut: 0 };
    this.traffic.set(name, entry);
    return entry;
  }
}
