/** The user commands: each sends a request to a controller and prints its answer. */
import { HttpClient, type HttpResponse } from '../adapters/http-client.js';
import { parseAddress } from '../config/settings.js';
import { asObject } from '../core/values.js';

/** Receives the lines that commands print: results through `out`, errors through `err`. */
export interface Output {
  out(line: string): void;
  err(line: string): void;
}

/** Timeout of one request, in milliseconds. */
const TIMEOUT_MS = 5000;
/** Time between two requests of `show --follow`, in milliseconds. */
const POLL_MS = 1000;

/** Sends requests to one controller, each on a connection of its own. The methods resolve to an exit code. */
export class Client {
  constructor(
    private readonly server: string,
    private readonly output: Output,
  ) {}

  async #request(method: string, path: string, body: string | null): Promise<HttpResponse> {
    const client = new HttpClient(parseAddress(this.server), 1, false);
    const answer = await client.request(method, path, body, TIMEOUT_MS);
    client.close();
    return answer;
  }

  /** Prints an answer; the result is the exit code: 0 for success, 1 for a refusal or no answer. */
  #print(answer: HttpResponse): number {
    if (answer.status === 0) {
      this.output.err(`rowanferry: no answer from ${this.server}`);
      return 1;
    }
    const body = JSON.stringify(answer.body);
    if (answer.status < 300) {
      this.output.out(body);
      return 0;
    }
    this.output.err(`rowanferry: ${answer.status} ${body}`);
    return 1;
  }

  /** Submits a job description. */
  async submit(job: unknown): Promise<number> {
    return this.#print(await this.#request('POST', '/v2/runs', JSON.stringify(job)));
  }

  /**
   * Shows a job. With `follow`, polls it and prints each change until the job is done or withdrawn, or until a
   * request fails in another way than with status 503.
   */
  async show(id: string, follow: boolean): Promise<number> {
    const path = `/v2/runs/${encodeURIComponent(id)}`;
    let lastLine = '';
    for (;;) {
      const answer = await this.#request('GET', path, null);
      const stage = asObject(answer.body)?.['stage'];
      const isFinal = stage === 'done' || stage === 'withdrawn';
      if (!follow || isFinal || (answer.status !== 200 && answer.status !== 503)) return this.#print(answer);
      const line = JSON.stringify(answer.body);
      if (line !== lastLine && answer.status === 200) this.output.out(line);
      lastLine = line;
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
  }

  /** Cancels a job. */
  async cancel(id: string): Promise<number> {
    return this.#print(await this.#request('POST', `/v2/runs/${encodeURIComponent(id)}/withdraw`, '{}'));
  }

  /** Shows the controller's status page. */
  async status(): Promise<number> {
    const answer = await this.#request('GET', '/status', null);
    if (answer.status !== 200) return this.#print(answer);
    this.output.out(JSON.stringify(answer.body, null, 2));
    return 0;
  }
}
