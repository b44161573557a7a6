import * as z from 'zod';

/** Registration of an entry VM in the store. */
export interface Registration {
  entryVmId: string;
  /** Identifies one run of the daemon. */
  bootId: string;
  availabilityZone: string;
  /** Processor capacity in cores; 0 if it is not known. */
  capacity: number;
  /** Address (host:port) for callers. */
  callerAddress: string;
  /** Address (host:port) for datagrams from other entry VMs. */
  peerAddress: string;
  /** True once a planned stop has begun. */
  isLeaving?: boolean | undefined;
}

const registrationSchema: z.ZodType<Registration> = z.object({
  entryVmId: z.string(),
  bootId: z.string(),
  availabilityZone: z.string(),
  // Registrations of earlier versions have no capacity.
  capacity: z.number().default(0),
  callerAddress: z.string(),
  peerAddress: z.string(),
  isLeaving: z.boolean().optional(),
});

export const encodeRegistration = (registration: Registration): string =>
  JSON.stringify(registration);

/** Returns undefined if the value is not a valid registration. */
export const decodeRegistration = (value: string): Registration | undefined => {
  try {
    return registrationSchema.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
};
