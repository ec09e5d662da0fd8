import {request} from 'undici';
import {z} from 'zod';

const statusSchema = z.record(z.string(), z.record(z.string(), z.unknown()));

/** Status of a host: the fields of each section (`requests`, `membership`, ...) by section name. */
export type HostStatus = z.infer<typeof statusSchema>;

/** Longest wait for the status of one host, in ms. */
const statusTimeoutMs = 2_000;

/** Reads the status of a host from its admin address; undefined where the host does not return a valid one. */
export async function readStatus(adminAddress: string): Promise<HostStatus | undefined> {
  try {
    const {body} = await request(`http://${adminAddress}/-/status`, {
      signal: AbortSignal.timeout(statusTimeoutMs),
    });
    return statusSchema.parse(await body.json());
  } catch {
    return undefined;
  }
}
