import {request} from 'undici';
import {z} from 'zod';

const statusSchema = z.record(z.string(), z.record(z.string(), z.unknown()));

/** Status of a host by section. */
export type HostStatus = z.infer<typeof statusSchema>;

const timeoutMs = 2_000;

/** Asks a host's admin port for its status; undefined where it does not answer. */
export async function readStatus(admin: string): Promise<HostStatus | undefined> {
  try {
    const {body} = await request(`http://${admin}/-/status`, {
      signal: AbortSignal.timeout(timeoutMs),
    });
    return statusSchema.parse(await body.json());
  } catch {
    return undefined;
  }
}
