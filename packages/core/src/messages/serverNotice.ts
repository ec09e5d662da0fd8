import {z} from 'zod';

/** What a backend server states about itself in a response, whatever the response is. */
export const serverNoticeSchema = z.object({
  /** Requests per second that the server accepts from the whole fleet; absent for no limit. */
  limitPerSecond: z.number().min(0).optional(),
});

export type ServerNotice = z.infer<typeof serverNoticeSchema>;
