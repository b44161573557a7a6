import * as z from 'zod';

/** What an entry VM makes known about itself in the store. */
export interface Registration {
  entryVmId: string;
  /** Differs between two runs of a daemon. */
  bootId: string;
  availabilityZone: string;
  /** host:port for callers. */
  callerAddress: string;
  /** host:port for datagrams of other entry VMs. */
  peerAddress: string;
}

const registrationSchema: z.ZodType<Registration> = z.object({
  entryVmId: z.string(),
  bootId: z.string(),
  availabilityZone: z.string(),
  callerAddress: z.string(),
  peerAddress: z.string(),
});

export const encodeRegistration = (registration: Registration): string =>
  JSON.stringify(registration);

/** Returns undefined for a value that is no registration. */
export const decodeRegistration = (value: string): Registration | undefined => {
  try {
    return registrationSchema.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
};
