/**
 * Messages on each wire and records in the key-value store, encoded by the code in `src`. This module contains all
 * internal names that the golden files depend on: a rename changes this module, but never a golden file.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { HttpCloud, type ProvisioningResult } from '../../src/adapters/cloud.js';
import {
  HttpKeyValueStore,
  type CommitResult,
  type KeyValueStore,
  type WatchResult,
} from '../../src/adapters/key-value-store.js';
import { HttpWorkerClient } from '../../src/adapters/worker-client.js';
import { Admission } from '../../src/adapters/admission.js';
import { createPublicServer } from '../../src/adapters/public-server.js';
import { UserRequests, type UserResponse } from '../../src/adapters/user-requests.js';
import { systemClock } from '../../src/adapters/clock.js';
import { WAIT_REASONS } from '../../src/core/placement/index.js';
import * as records from '../../src/core/persistence/index.js';
import { readPolicy, formatFault } from '../../src/config/policy.js';
import { settingsFaults } from '../../src/config/settings.js';
import type { ListedMachine } from '../../src/core/types.js';
import type { IntakeMessage } from '../../src/wire/intake.js';
import { encodeIntake, encodeStartFence, encodeStatus, type PeerStatus } from '../../src/wire/peers.js';
import { encodeJobView, parseSubmission } from '../../src/wire/users.js';
import { encodeDirectCommands, encodeRedirect, encodeReply, parseHeartbeat } from '../../src/wire/workers.js';
import { startBusyCluster } from './busy-cluster.js';
import { VirtualClock } from './clock.js';
import { IMMEDIATE_FENCE } from './fence.js';
import { TYPES } from './cloud.js';
import { Network } from './network.js';
import { StoreEmulator } from './state.js';
import { seeded, testSettings } from './simulation.js';

const json = (value: unknown): string => JSON.stringify(value);
const hex = (bytes: Uint8Array): string => Buffer.from(bytes).toString('hex');

const STATUS: PeerStatus = {
  node: 'n-0',
  incarnation: 'life-1',
  term: 7,
  isLeader: true,
  storeContactAgeMs: 12,
  counts: [{ id: 'req-000001', done: 3, running: 4, why: 2 }],
  format: 2,
  dependenciesResolvedUntil: 1_000_000_000_012.5,
  silentZones: [{ zone: 'b', silentMs: 1500 }],
  relayedMachines: ['vm-000001'],
  viewConfirmedAt: 1_000_000_000_013.5,
  timerLagMs: 40,
  observations: (['up', 'silent', 'lost', 'refused'] as const).map((linkState, i) => ({
    node: `n-${i + 1}`,
    ageMs: 700 + i,
    linkState,
  })),
  unexpectedReports: 2,
  reporting: 590,
  expected: 600,
  probeRequests: ['10.1.0.7:9000'],
  probeRound: 3,
  reachable: 1,
  unreachable: 7,
  acceptsHeartbeats: true,
};

const ENVELOPE = { node: 'n-1', incarnation: 'life-2', term: 7, sentAt: 1_000_000_000_000.25 };
const TASKS = [
  { job: 'req-000001', task: 0, attempt: 1, stage: 'fetching', exit: null },
  { job: 'req-000001', task: 1, attempt: 2, stage: 'running', exit: null },
  { job: 'req-000001', task: 2, attempt: 3, stage: 'saving', exit: null },
  ...(['done', 'stopped', 'error', 'no_room', 'busy', 'unknown'] as const).map((exit, i) => ({
    job: 'req-000002',
    task: i,
    attempt: 1,
    stage: 'exited' as const,
    exit,
  })),
] as const;
const REPORT = {
  machine: 'vm-000001',
  address: '10.1.0.1:9000',
  type: 'small',
  zone: 'a',
  spot: true,
  agentEpoch: 2,
  sequence: 41,
  token: 7,
  terminationNoticeS: null,
  tasks: TASKS,
};
const COMMANDS = [
  { op: 'start', job: 'req-000001', task: 3, attempt: 2 },
  { op: 'stop', job: 'req-000001', task: 4, attempt: 1, graceS: 12.5 },
  { op: 'forget', job: 'req-000002', task: 0, attempt: 1 },
] as const;
const INTAKE: Readonly<Record<string, IntakeMessage>> = {
  'reports and heartbeats': {
    kind: 'heartbeats',
    ...ENVELOPE,
    heartbeats: [
      { reference: 1, heartbeat: REPORT },
      {
        reference: 2,
        heartbeat: { ...REPORT, machine: 'vm-000002', terminationNoticeS: 30, spot: false, tasks: [] },
      },
    ],
    keepalives: [{ machine: 'vm-000003', agentEpoch: 1, sequence: 9, ageMs: 120 }],
  },
  answers: {
    kind: 'answers',
    ...ENVELOPE,
    answers: [
      { reference: 1, isAccepted: true, needsAttention: true, commands: COMMANDS },
      { reference: 2, isAccepted: false, needsAttention: false, commands: [] },
    ],
    addressee: '',
    number: 12,
    attention: ['vm-000004'],
    isSnapshot: false,
    isSharing: true,
    viewConfirmedAt: 0,
    redirect: { to: 'n-2', count: 5 },
  },
  snapshot: {
    kind: 'answers',
    ...ENVELOPE,
    answers: [],
    addressee: '',
    number: 1,
    attention: ['vm-000001', 'vm-000002'],
    isSnapshot: true,
    isSharing: true,
    viewConfirmedAt: 1_000_000_000_000.5,
    redirect: null,
  },
};

/** Messages between controllers: each frame in hexadecimal. */
export function peers(): string[] {
  const emptyFields = {
    isLeader: false,
    counts: [],
    silentZones: [],
    relayedMachines: [],
    observations: [],
    probeRequests: [],
    acceptsHeartbeats: false,
  };
  return [
    `leader's status ${hex(encodeStatus(STATUS))}`,
    `follower's status ${hex(encodeStatus({ ...STATUS, ...emptyFields }))}`,
    ...Object.entries(INTAKE).map(([name, message]) => `${name} ${hex(encodeIntake(message))}`),
  ];
}

/** Messages about the start fence, and a forwarded answer that states the lease of its start, in hexadecimal. */
export function startFence(): string[] {
  const answer = { reference: 1, isAccepted: true, needsAttention: false, commands: COMMANDS };
  const leased = { ...answer, startLease: { remainingMs: 1250, viewRevision: 412 } };
  const list = { number: 3, attention: [], redirect: null, addressee: '' } as const;
  const answers = { kind: 'answers', ...ENVELOPE, ...list } as const;
  const message = { node: 'n-1', requested: 0, promised: 412, fenced: 400, forwarders: [] };
  return [
    `promise ${hex(encodeStartFence(message))}`,
    `request ${hex(encodeStartFence({ ...message, requested: 420, forwarders: ['n-2'] }))}`,
    `answers ${hex(encodeIntake({ ...answers, answers: [leased], isSnapshot: false, isSharing: true, viewConfirmedAt: 0 }))}`,
  ];
}

/** A forwarded answer that states for which incarnation of the follower it is, in hexadecimal. */
export function addressedAnswers(): string[] {
  const { answers } = INTAKE;
  return answers?.kind === 'answers'
    ? [`answers ${hex(encodeIntake({ ...answers, addressee: 'life-3' }))}`]
    : [];
}

/** Messages to workers. */
export function workers(): string[] {
  return [
    `answer without commands ${encodeReply(7, [])}`,
    `answer ${encodeReply(7, COMMANDS)}`,
    `redirect ${encodeRedirect('n-0')}`,
    `nobody leads ${encodeRedirect(null)}`,
    `direct ${encodeDirectCommands(7, 2, COMMANDS)}`,
  ];
}

const WORKER_REPORT = {
  skiff: 'vm-000001',
  address: '10.1.0.1:9000',
  bench: 'small',
  hall: 'a',
  borrowed: true,
  watch: 2,
  barNo: 41,
  baton: 7,
  recallS: 30,
};

/** Heartbeats from workers: the frame that forwards each to the leader, or that it is refused. */
export function reports(): string[] {
  const forwarded = (body: unknown): string => {
    const report = parseHeartbeat(body);
    if (report === null) return 'refused';
    return hex(
      encodeIntake({
        kind: 'heartbeats',
        ...ENVELOPE,
        keepalives: [],
        heartbeats: [{ reference: 1, heartbeat: report }],
      }),
    );
  };
  const task = (more: object): object => ({ movement: 'req-000001/3', take: 2, stage: 'running', ...more });
  const stages = ['pulling', 'running', 'waiting', 'flushing', 'ended', 'other'];
  const ends = ['done', 'halted', 'peers', 'alone', 'error', 'full', 'in_use', 'no_such', 'other'];
  const bodies: [string, unknown][] = [
    ['no tasks', WORKER_REPORT],
    ['unknown fields', { ...WORKER_REPORT, more: 1 }],
    ...stages.map((stage): [string, unknown] => [
      `a task ${stage}`,
      { ...WORKER_REPORT, movements: [task({ stage })] },
    ]),
    ...ends.map((cadence): [string, unknown] => [
      `ended: ${cadence}`,
      { ...WORKER_REPORT, movements: [task({ stage: 'ended', cadence })] },
    ]),
    ...Object.keys(WORKER_REPORT).flatMap((field): [string, unknown][] => [
      [`without ${field}`, { ...WORKER_REPORT, [field]: undefined }],
      [`${field} is null`, { ...WORKER_REPORT, [field]: null }],
      [`${field} is a list`, { ...WORKER_REPORT, [field]: [] }],
    ]),
    ['a task without a number', { ...WORKER_REPORT, movements: [task({ movement: 'req-000001' })] }],
    ['a task without a take', { ...WORKER_REPORT, movements: [task({ take: null })] }],
    ['no object', []],
  ];
  return bodies.map(([name, body]) => `${name}: ${forwarded(body)}`);
}

const SUBMISSION = {
  nameId: 'req-000001',
  repertoire: 'train',
  crew: 'crew',
  form: 'array',
  urgency: 'high',
  movements: 2,
  cores: 1.5,
  gpus: 0,
  memGb: 1,
  edition: 'img',
  pullGb: 1.5,
  benches: ['small'],
  hall: 'a',
  together: false,
  apart: true,
  borrowed: true,
  expectedS: 5,
  bookmarkS: 1,
  bookmarkWriteS: 0.5,
  curtainS: 60,
  awaits: ['req-000002', 'req-000003', 'req-000002'],
};

/** Submissions: the job description that is stored for each, or why it is refused. */
export function submissions(): string[] {
  const describe = (body: unknown): string => {
    const parsed = parseSubmission(body, 1_000_000_000_000);
    return parsed.ok ? `stored ${json(parsed.value)}` : `refused ${parsed.reason}`;
  };
  const faulty = Object.keys(SUBMISSION).flatMap((field): [string, unknown][] => [
    [`without ${field}`, { ...SUBMISSION, [field]: undefined }],
    [`${field} is null`, { ...SUBMISSION, [field]: null }],
    [`${field} is -1`, { ...SUBMISSION, [field]: -1 }],
    [`${field} is an object`, { ...SUBMISSION, [field]: {} }],
    [`${field} is a text`, { ...SUBMISSION, [field]: 'other' }],
  ]);
  const bodies: [string, unknown][] = [
    ['whole', SUBMISSION],
    ['unknown fields', { ...SUBMISSION, more: 1 }],
    ...['array', 'ensemble', 'service'].map((form): [string, unknown] => [form, { ...SUBMISSION, form }]),
    ...['prod', 'high', 'normal', 'best_effort'].map((urgency): [string, unknown] => [
      urgency,
      { ...SUBMISSION, urgency },
    ]),
    ['too many tasks', { ...SUBMISSION, movements: 100_001 }],
    ['half a task', { ...SUBMISSION, movements: 1.5 }],
    ['no object', [1]],
    ...faulty,
  ];
  return bodies.map(([name, body]) => `${name}: ${describe(body)}`);
}

/** Response bodies that describe jobs. */
export function jobViews(): string[] {
  const id = 'req-000001';
  const awaits = Array.from({ length: 22 }, (_, i) => `req-${String(i + 2).padStart(6, '0')}`);
  return [
    encodeJobView({ id, stage: 'pending' }),
    ...WAIT_REASONS.map((why) =>
      encodeJobView({ id, stage: 'pending', done: 0, running: 0, waitReason: why }),
    ),
    encodeJobView({ id, stage: 'pending', done: 0, running: 0, awaits: awaits.slice(0, 2) }),
    encodeJobView({ id, stage: 'pending', done: 0, running: 0, awaits }),
    encodeJobView({ id, stage: 'running', done: 3, running: 2, awaits: [] }),
    encodeJobView({ id, stage: 'done', done: 5, running: 0 }),
    encodeJobView({ id, stage: 'withdrawn', done: 1, running: 0 }),
    encodeJobView({ id, stage: 'withdrawn' }),
  ].map(json);
}

/** A job description as it is stored in the key-value store. */
const STORED_JOB: unknown = JSON.parse(
  '{"id":"req-000001","jobClass":"class","team":"crew","form":"gang","priority":2,"tasks":3,"cpus":1.5,"gpus":0,' +
    '"memoryGb":1,"image":"img","imageGb":0.5,"types":["small"],"zone":"a","oneZone":false,"spread":true,"spot":true,' +
    '"estimateS":5,"checkpointS":1,"saveS":0.5,"deadlineS":60,"submittedAt":1000000000000,"awaits":["req-000002"]}',
);

/** Keys and values of the key-value store. Decoded values are encoded again, so that both directions are covered. */
export function stored(): string[] {
  const { chunkKey } = records;
  const claim = (task: number): object => ({
    attempt: 1 + task,
    machine: `vm-00000${task % 2}`,
    agentEpoch: 3,
    createdAt: 1_000_000_000_000 - 250 * task,
  });
  const chunk = {
    team: 'crew',
    cpus: 2.5,
    gpus: 1,
    memoryGb: 25.5,
    done: 'AQI=',
    attempts: { 7: 2 },
    claims: { 0: claim(0), 3: claim(3), 4: claim(4) },
  } as Parameters<typeof records.encodeChunk>[0];
  const empty = { ...chunk, attempts: {}, claims: {} };
  const read = (value: unknown): unknown => {
    const decoded = records.decodeChunk(value);
    return decoded === null ? null : records.encodeChunk(decoded);
  };
  const classMemory = { spec: STORED_JOB, peak: 12.5, gap: 1234.5, ratio: 1.25 };
  const lines: [string, unknown][] = [
    [`${records.jobKey('req-000001')} read`, records.decodeJob(STORED_JOB)],
    [`${records.jobKey('req-000001')} damaged`, records.decodeJob({ id: 'req-000001' })],
    [chunkKey('req-000001', { index: 12, width: null }), records.encodeChunk(chunk)],
    ['the same, read', read(records.encodeChunk(chunk))],
    ['without claims', records.encodeChunk(empty)],
    [chunkKey('req-000001', { index: 12, width: 24 }), records.encodeCompactChunk(chunk)],
    ['the same, read', read(records.encodeCompactChunk(chunk))],
    ['without claims', records.encodeCompactChunk(empty)],
    ['damaged', read({ of: 1 })],
    [
      `${records.endedKey('req-000001')} done`,
      records.decodeEnded({ stage: 'done', tasks: 3, done: 3, at: 5 }),
    ],
    ['of versions before', records.decodeEnded({ stage: 'withdrawn', tasks: 3, done: 1 })],
    ['damaged', records.decodeEnded({ stage: 'other', tasks: 3, done: 1 })],
    [records.TERM_KEY, records.decodeTerm({ term: 7, more: 1 })],
    ['damaged', records.decodeTerm({ term: 'x' })],
    [records.LEADER_KEY, records.decodeLeader({ term: 7, node: 'n-0', incarnation: 'life', more: 1 })],
    [
      'with a successor',
      records.decodeLeader({ term: 7, node: 'n-0', incarnation: 'life', successor: 'n-1' }),
    ],
    ['damaged', records.decodeLeader({ term: 7, node: 'n-0' })],
    [records.DEMAND_KEY, records.decodeDemand({ classes: [classMemory, {}, 7] })],
    [
      records.demandKey(3),
      records.packDemand(records.decodeDemand({ classes: [classMemory, classMemory] }), 600),
    ],
    [records.relayKey('n-1', 2), records.decodeRelay({ at: 5.5, machines: ['vm-000001', 7] })],
    ['parts', records.packMachines(['vm-000001', 'vm-000002', 'vm-000003'], 90)],
    [records.versionKey('n-1'), records.decodeFormat({ format: 2 })],
    [records.FORMAT_KEY, records.decodeFormat({ format: 2, wide: 128, tasks: 24 })],
    ['prefixes', [records.JOB_PREFIX, records.RUN_PREFIX, records.RELAY_PREFIX, records.VERSION_PREFIX]],
    ['more prefixes', [records.DEMAND_PREFIX, records.FORMAT]],
  ];
  return lines.map(([key, value]) => `${key} ${json(value)}`);
}

type Field = Record<string, unknown>;

/** Copies of a document with one field changed in each, labelled with the field's path and its new value. */
function* withChangedFields(document: unknown, path = ''): Generator<[string, unknown]> {
  if (typeof document !== 'object' || document === null) return;
  for (const [name, value] of Object.entries(document)) {
    const at = path === '' ? name : `${path}.${name}`;
    const change = (to: unknown): unknown => {
      if (Array.isArray(document))
        return document.map((one, i) => (String(i) === name ? to : (one as unknown)));
      return { ...(document as Field), [name]: to };
    };
    for (const [what, to] of [
      ['missing', undefined],
      ['null', null],
      ['-1', -1],
      ['0.5', 0.5],
      ['a text', 'x'],
      ['empty', ''],
      ['a list', []],
      ['an object', {}],
    ] as const)
      yield [`${at} ${what}`, change(to)];
    for (const [inner, changed] of withChangedFields(value, at)) yield [inner, change(changed)];
  }
}

/** The faults reported for each changed settings document; `sound` if there are none. */
export function settings(): string[] {
  const limits = { next: { rps: 100, write_rps: 18, value_kb: 2, txn_ops: 6 } };
  const sound = JSON.parse(json(testSettings(0, 6, limits))) as { cluster: Field };
  const objectives = [
    { kind: 'start_within', class: 'train', share: 0.95, times: 2, within_s: 240, within_ms: 100 },
  ];
  const document = { ...sound, cluster: { ...sound.cluster, objectives } };
  const describe = (settingsDocument: unknown): string =>
    settingsFaults(settingsDocument).join('; ') || 'sound';
  return [
    `whole: ${describe(document)}`,
    `no object: ${describe(7)}`,
    ...[...withChangedFields(document)].map(([name, changed]) => `${name}: ${describe(changed)}`),
  ];
}

const POLICIES = [
  'no_such = 1.0',
  '# fine\n\nheadroom = wrong + 1.0',
  'headroom = 2 * cores',
  'headroom = job_class',
  'headroom = 1.0 +',
  'headroom = 1.0 / 0.0',
  'headroom = cores',
  'placing_wait_s = cores',
  'headroom = 1.0\nheadroom = 2.0',
  'whatever',
  'estimate_multiplier = 0.0',
  'overrun_allowance_s = -1.0',
  'placing_wait_s = 601.0',
  'idle_hold_s = price',
  'idle_hold_s = type_cores + boot_s + (spot ? 1.0 : 0.0)',
  'start_bound_s = 0.5',
  'deadline_slack = 2.0',
  'shared_reports_from = 0.0',
  'headroom_memory_s = report_s + lease_s + cancel_s + list_lag_s + controllers + cpu_quota',
  'headroom = priority == "prod" ? 2.0 : gpus + memory_gb + image_gb + tasks + estimate_s',
  'estimate_multiplier = 1.0 + 0.0 * (deadline_s + checkpoint_s)',
];

/** The faults that the policy checker reports for each policy; `sound` if there are none. */
export function policies(): string[] {
  const known = testSettings(0);
  return POLICIES.map((text) => {
    const faults = readPolicy(text, known).faults.map(formatFault);
    return `${json(text)}: ${faults.join('; ') || 'sound'}`;
  });
}

/** Names of internal enumeration values in the golden files; a rename changes a key here, but never a value. */
const WORDS: Readonly<
  Record<
    CommitResult['kind'] | WatchResult['kind'] | ListedMachine['stage'] | Extract<ProvisioningResult, string>,
    string
  >
> = {
  applied: 'applied',
  failed: 'failed',
  refused: 'refused',
  rejected: 'rejected',
  unknown: 'unknown',
  changes: 'changes',
  tooOld: 'too old',
  malformed: 'malformed',
  booting: 'booting',
  running: 'running',
};

/** A decoded response without its field names, as JSON. */
function withoutFieldNames(decoded: unknown): string {
  const strip = (value: unknown): unknown => {
    if (typeof value === 'string') return (WORDS as Readonly<Record<string, string>>)[value] ?? value;
    if (typeof value !== 'object' || value === null) return value;
    return Object.values(value).map(strip);
  };
  return json(strip(decoded)) ?? 'nothing';
}

/** Starts a server on loopback that records each request and responds with the result of `answer`. */
async function startRecordingServer(
  answer: (request: string) => [number, unknown],
): Promise<{ requests: string[]; port: number; server: Server }> {
  const requests: string[] = [];
  const server = createServer((request: IncomingMessage, response: ServerResponse) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const body = Buffer.concat(chunks).toString('utf8');
      const line = `${request.method ?? ''} ${request.url ?? ''}${body === '' ? '' : ` ${body}`}`;
      requests.push(line);
      const [status, responseBody] = answer(line);
      response.writeHead(status, { 'Content-Type': 'application/json' }).end(json(responseBody));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return { requests, port: (server.address() as AddressInfo).port, server };
}

async function close(server: Server): Promise<void> {
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
}

/** Requests to the key-value store, each with the result that its responses are decoded to. */
export async function stateRequests(): Promise<string[]> {
  const answers: [number, unknown][] = [];
  const { requests, port, server } = await startRecordingServer(() => answers.shift() ?? [500, {}]);
  const defaults = testSettings(0);
  const endpoints = { ...defaults.endpoints, state: `127.0.0.1:${port}` };
  const store = new HttpKeyValueStore({ ...defaults, endpoints }, systemClock);
  const lines: string[] = [];
  const ask = async (responses: [number, unknown][], call: () => Promise<unknown>): Promise<void> => {
    answers.push(...responses);
    const decoded = await call();
    lines.push(...requests.splice(0), `  ${responses.map(json).join(' ')} -> ${withoutFieldNames(decoded)}`);
  };
  const entry = { key: 'job/req-000001', data: { id: 1 }, stamp: 8 };
  const txn = {
    preconditions: [{ key: 'term', modRevision: 4 }],
    mutations: [
      { put: 'leader', value: { term: 5 }, lease: 12 },
      { put: 'term', value: { term: 5 } },
      { remove: 'run/req-000001/00000' },
    ],
  };
  await ask([[200, entry]], () => store.read('job/req-000001'));
  await ask([[404, { ledgerRev: 9 }]], () => store.read('job/req-000001'));
  await ask([[200, { key: 7 }]], () => store.read('term'));
  await ask([[200, { rows: [entry], ledgerRev: 9 }]], () => store.list('job/'));
  await ask(
    [
      [200, { rows: [entry], ledgerRev: 9, truncated: true }],
      [200, { rows: [{ ...entry, key: 'job/req-000002' }], ledgerRev: 10 }],
    ],
    () => store.list('job/'),
  );
  for (const response of [
    [200, { ledgerRev: 10 }],
    [200, {}],
    [409, { failed: ['term'] }],
    [409, {}],
    [400, {}],
    [429, {}],
    [404, {}],
  ] as [number, unknown][])
    await ask([response], () => store.commit(txn));
  const events = [
    { remove: 'job/req-000001', stamp: 12 },
    { put: 'job/req-000002', data: { id: 2 }, stamp: 11 },
  ];
  await ask([[200, { events, ledgerRev: 12 }]], () => store.watch('job/', 9, 1000.4));
  await ask([[200, { events, ledgerRev: 12 }]], () => store.changesSince('job/', 9));
  await ask([[410, {}]], () => store.watch('job/', 1, 1000));
  await ask([[200, { permit: 12 }]], () => store.grant(2000.4));
  await ask([[200, {}]], () => store.renew(12));
  await ask([[404, {}]], () => store.renew(12));
  await ask([[200, {}]], () => store.revoke(12));
  await close(server);
  return lines;
}

/** Requests to the cloud provider, each with the result that its responses are decoded to. */
export async function cloudRequests(): Promise<string[]> {
  const answers: [number, unknown][] = [];
  const { requests, port, server } = await startRecordingServer(() => answers.shift() ?? [500, {}]);
  const defaults = testSettings(0);
  const endpoints = { ...defaults.endpoints, cloud: `127.0.0.1:${port}` };
  const cluster = { ...defaults.cluster, cloud: { ...defaults.cluster.cloud, rps: 1000 } };
  const cloud = new HttpCloud({ ...defaults, endpoints, cluster }, systemClock);
  const lines: string[] = [];
  const ask = async (responses: [number, unknown][], call: () => Promise<unknown>): Promise<void> => {
    answers.push(...responses);
    const decoded = await call();
    lines.push(...requests.splice(0), `  ${responses.map(json).join(' ')} -> ${withoutFieldNames(decoded)}`);
  };
  const harness = { name: 'small', cores: 8, memGb: 32, hourly: 1, readyS: 5, halls: ['a', 'b'] };
  const more = { gpus: 2, cacheGb: 20, fetchGbPerS: 1.5, lowPrice: 0.4 };
  const skiff = { nameId: 'vm-000001', address: '10.1.0.1:9', bench: 'small', hall: 'a', borrowed: true };
  await ask([[200, { benches: [harness, { ...harness, ...more }] }]], () => cloud.catalog());
  await ask([[200, { benches: [{ ...harness, cores: 'x' }] }]], () => cloud.catalog());
  await ask(
    [
      [200, { skiffs: [{ ...skiff, stage: 'starting', heldS: 3 }], truncated: true }],
      [200, { skiffs: ['running', 'failed'].map((stage) => ({ ...skiff, stage, address: null })) }],
    ],
    () => cloud.listMachines(),
  );
  await ask([[200, { skiffs: [{ ...skiff, stage: 'other' }] }]], () => cloud.listMachines());
  const provision = (): Promise<unknown> => cloud.provision('life-1-3', 'small', 'a', true, 4);
  await ask([[200, { skiffs: ['vm-000001', 'vm-000002'] }]], provision);
  await ask([[200, { skiffs: [7] }]], provision);
  await ask([[400, {}]], provision);
  await ask([[503, { error: 'no capacity' }]], provision);
  await ask([[200, {}]], () => cloud.terminate(['vm-000001', 'vm-000002']));
  await ask([[400, {}]], () => cloud.terminate(['vm-000001']));
  await close(server);
  return lines;
}

/** The request that carries direct commands; it contains no command that starts a task. */
export async function directRequest(): Promise<string[]> {
  const { requests, port, server } = await startRecordingServer(() => [200, WORKER_REPORT]);
  const client = new HttpWorkerClient(2000, 1000, 4);
  const heartbeat = await client.sendCommands(`127.0.0.1:${port}`, 7, 2, COMMANDS);
  await close(server);
  return [...requests, `  answered: ${String(heartbeat !== null)}`];
}

interface UserFixture {
  readonly users: UserRequests;
  /** Whether the key-value store refuses requests. */
  isStoreDown: boolean;
  typesKnown: boolean;
  dependenciesSupported: boolean;
}

function createUserFixture(): UserFixture {
  const state = new StoreEmulator(new Network(new VirtualClock(), seeded(1)));
  const known = new Map(TYPES.map((type) => [type.name, type]));
  const store: KeyValueStore = {
    read: (key) => Promise.resolve(fixture.isStoreDown ? 'unknown' : { entry: state.read(key) }),
    list: (prefix) =>
      Promise.resolve(
        fixture.isStoreDown ? 'unknown' : { entries: state.list(prefix), revision: state.revision },
      ),
    commit: (txn) => Promise.resolve(fixture.isStoreDown ? { kind: 'refused' } : state.commit(txn)),
    watch: () => Promise.resolve({ kind: 'unknown' }),
    changesSince: (prefix, after) =>
      Promise.resolve(fixture.isStoreDown ? { kind: 'unknown' } : state.changesSince(prefix, after)),
    grant: () => Promise.resolve(null),
    renew: () => Promise.resolve(null),
    revoke: () => Promise.resolve(),
    lastContactAt: () => null,
    applyLimits: () => undefined,
  };
  const users: UserRequests = new UserRequests({
    store,
    clock: systemClock,
    fence: IMMEDIATE_FENCE,
    teams: new Map([['crew', { guaranteedCpus: 0, maxCpus: 8, guaranteedGpus: 0, maxGpus: 1 }]]),
    requestTimeoutMs: 100,
    requestsPerSecond: 10_000,
    maxValueBytes: 2048,
    maxPreconditions: 24,
    supportsDependencies: () => Promise.resolve(fixture.dependenciesSupported),
    hasPropagatedCancellations: () => true,
    machineTypes: () => (fixture.typesKnown ? known : new Map()),
    taskCounts: () => null,
  });
  const fixture: UserFixture = { users, isStoreDown: false, typesKnown: true, dependenciesSupported: true };
  return fixture;
}

/** User requests at the public port: request, status, the headers that the service sets, and body. */
export async function userRequests(): Promise<string[]> {
  const fixture = createUserFixture();
  let ready = true;
  const failing = (): Promise<UserResponse> => Promise.reject(new Error('fails'));
  const server = createPublicServer(
    {
      users: {
        submit: (body) => fixture.users.submit(body),
        show: (id) => (id === 'req-999' ? failing() : fixture.users.show(id)),
        cancel: (id) => fixture.users.cancel(id),
      },
      handleHeartbeat: (body, done) =>
        parseHeartbeat(body) === null
          ? done(400, '{"error":"malformed report"}')
          : done(200, encodeReply(7, [])),
      ready: () => ready,
      describe: (brief) => ({ brief }),
      latencies: { record: () => undefined },
      admission: new Admission(systemClock, 100),
      malformed: { count: () => undefined },
    },
    100,
  );
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const lines: string[] = [];
  const ask = async (name: string, method: string, path: string, body?: unknown): Promise<void> => {
    const text = body === undefined ? undefined : typeof body === 'string' ? body : json(body);
    const answer = await fetch(`http://127.0.0.1:${port}${path}`, { method, body: text ?? null });
    const responseBody = await answer.text();
    const headers = ['content-type', 'retry-after'].map((header) => answer.headers.get(header) ?? '-');
    lines.push(`${name}: ${method} ${path} ${answer.status} ${headers.join(' ')} ${json(responseBody)}`);
  };
  const validSubmission = { ...SUBMISSION, awaits: null, curtainS: null };
  const submit = (name: string, body: unknown): Promise<void> => ask(name, 'POST', '/v2/runs', body);
  const other = (n: number, more: object): object => ({ ...validSubmission, nameId: `req-10${n}`, ...more });
  await submit('accepted', validSubmission);
  await submit('repeated', validSubmission);
  await ask('pending', 'GET', '/v2/runs/req-000001');
  await submit('pipeline', other(0, { awaits: ['req-000001'] }));
  await ask('pipeline pending', 'GET', '/v2/runs/req-100');
  await submit('service', other(9, { form: 'service' }));
  await submit('awaits a service', other(1, { awaits: ['req-109'] }));
  await submit('awaits itself', other(1, { awaits: ['req-101'] }));
  await submit('awaits nobody', other(1, { awaits: ['req-555'] }));
  await submit('unknown crew', other(1, { crew: 'nobody' }));
  await submit('too large for any machine', other(1, { memGb: 4096 }));
  await submit('unknown machine type', other(1, { benches: ['huge'] }));
  await submit('beyond the limit', other(1, { form: 'service', movements: 9 }));
  await submit('description too long', other(1, { repertoire: 'x'.repeat(2000) }));
  await submit('body too long', other(1, { edition: 'x'.repeat(70_000) }));
  await submit('not JSON', '{');
  await submit('no object', '7');
  await submit('a faulty field', other(1, { movements: 0 }));
  fixture.dependenciesSupported = false;
  await submit('pipelines not known', other(1, { awaits: ['req-000001'] }));
  fixture.typesKnown = false;
  await submit('types not known', other(1, {}));
  fixture.typesKnown = true;
  fixture.dependenciesSupported = true;
  await ask('withdrawn', 'POST', '/v2/runs/req-000001/withdraw', '{}');
  await ask('withdrawn again', 'POST', '/v2/runs/req-000001/withdraw');
  await ask('withdrawn is shown', 'GET', '/v2/runs/req-000001');
  await submit('awaits what is withdrawn', other(2, { awaits: ['req-000001'] }));
  await submit('withdrawn is submitted', validSubmission);
  await ask('unknown job', 'GET', '/v2/runs/req-555');
  await ask('no job id', 'GET', '/v2/runs/job-1');
  await ask('unknown job is withdrawn', 'POST', '/v2/runs/req-555/withdraw');
  fixture.isStoreDown = true;
  await submit('refused by the state service', other(3, {}));
  await ask('refused by the state service', 'GET', '/v2/runs/req-100');
  await ask('refused by the state service', 'POST', '/v2/runs/req-100/withdraw');
  fixture.isStoreDown = false;
  await ask('a failure', 'GET', '/v2/runs/req-999');
  await ask('ready', 'GET', '/ready');
  ready = false;
  await ask('not ready', 'GET', '/ready');
  await ask('status', 'GET', '/status');
  await ask('brief status', 'GET', '/status?brief');
  await ask('a report', 'POST', '/v1/report', WORKER_REPORT);
  await ask('a faulty report', 'POST', '/v1/report', { ...WORKER_REPORT, watch: 'x' });
  await ask('a report that is not JSON', 'POST', '/v1/report', '{');
  await ask('wrong method', 'GET', '/v1/report');
  await ask('wrong method', 'DELETE', '/v2/runs');
  await ask('wrong method', 'DELETE', '/v2/runs/req-100');
  await ask('wrong method', 'GET', '/v2/runs/req-100/withdraw');
  await ask('wrong method', 'POST', '/ready');
  await ask('no such path', 'GET', '/v3');
  await ask('broken encoding', 'POST', '/v2/runs/%E0%A4%A/withdraw');
  await close(server);
  return lines;
}

/** The status pages of a leader and its followers with running and queued tasks, and again after the leader crashed. */
export async function statusPages(): Promise<string[]> {
  const { simulation, leader, ids } = await startBusyCluster(3);
  const place = { team: 'crew', cpus: 8, memoryGb: 2, spot: true, zone: null, oneZone: false, spread: false };
  for (let i = 0; i < 3; i += 1)
    void simulation.simulateUser(
      { id: `req-30000${i}`, tasks: 4, ...place, ...(i === 2 ? { awaits: ids } : {}) },
      null,
    );
  await simulation.clock.runUntil(simulation.clock.now + 4000);
  const before = simulation.statusPages();
  simulation.crash(leader, 60_000);
  await simulation.clock.runUntil(simulation.clock.now + 15_000);
  return [...before, ...simulation.statusPages()].map((page) => JSON.stringify(page, null, 1));
}
