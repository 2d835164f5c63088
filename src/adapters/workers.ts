/** Commands sent straight to workers: they only raise the token, or halt. */
import type { Report, WorkerCommand } from '../core/types.js';
import { parseAddress } from '../settings.js';
import { encodeDirect, parseReport } from '../wire/workers.js';
import { HttpClient } from './http.js';

export interface Workers {
  direct(
    address: string,
    token: number,
    session: number,
    commands: readonly WorkerCommand[],
  ): Promise<Report | null>;
}

export class HttpWorkers implements Workers {
  constructor(private readonly timeoutMs: number) {}

  async direct(
    address: string,
    token: number,
    session: number,
    commands: readonly WorkerCommand[],
  ): Promise<Report | null> {
    // A start sent this way could be executed minutes late.
    const safe = commands.filter((command) => command.op !== 'start');
    const client = new HttpClient(parseAddress(address), 1, false);
    const answer = await client.call('POST', '/do', encodeDirect(token, session, safe), this.timeoutMs);
    client.close();
    return answer.status === 200 || answer.status === 409 ? parseReport(answer.body) : null;
  }
}
