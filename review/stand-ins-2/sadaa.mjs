/** A small deployment after the site files of sadaa-amman: their zones, machine types, limits and times. */

/** An entry of the catalog. */
const type = (name, cores, memGb, hourly, lowPrice, readyS, cacheGb) => ({
  name,
  cores,
  gpus: 0,
  memGb,
  cacheGb,
  fetchGbPerS: 0.4,
  hourly,
  lowPrice,
  readyS,
  halls: ['amman-east', 'aqaba-coast'],
});

export const TYPES = [
  type('qasr-8', 8, 32, 0.53, 0.16, 35, 60),
  type('diwan-64', 64, 256, 4.11, 1.23, 25, 70),
];

export const CLUSTER = {
  count: 3,
  zones: ['amman-east', 'aqaba-coast'],
  teams: [{ name: 'studio-crew', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
  objectives: [
    { kind: 'deadline', class: 'stop-mix', share: 0.65, times: 1 },
    { kind: 'deadline', class: 'opening-rush', share: 0.96, times: 1 },
    { kind: 'wait', class: 'opening-rush', share: 0.96, within_s: 8 },
  ],
  workers: { report_s: 1, lease_s: 10, gang_wait_s: 45, gang_peer_s: 4, cancel_s: 40 },
  state: { rps: 100, write_rps: 25, value_kb: 32, txn_ops: 20 },
  cloud: { rps: 5, list_lag_s: 4 },
  quota: { cpu: 0.085, ram_mb: 114, sockets: 600 },
  clock_error_ms: 1000,
};

export const NODE_ZONES = ['amman-east', 'aqaba-coast', 'amman-east'];

/** Machines of a kind that the cloud can give, as in the site file of sadaa-amman-grown. */
export const grownCapacity = (name, zone, spot) => {
  if (name === 'qasr-8') return spot ? 70 : 10;
  return spot ? (zone === 'amman-east' ? 6 : 5) : 1;
};

/** The same as in the site file of sadaa-amman-next. */
export const nextCapacity = (name, zone, spot) =>
  name === 'diwan-64' && !spot ? 6 : grownCapacity(name, zone, spot);

/** Boot times of the catalog. */
export const bootMs = (name) => 1000 * TYPES.find((one) => one.name === name).readyS;

/** A job of the class `stop-mix` with fields of its own. */
export const stopMix = (nameId, fields) => ({
  nameId,
  repertoire: 'stop-mix',
  crew: 'studio-crew',
  form: 'array',
  urgency: 'normal',
  movements: 1,
  cores: 32,
  gpus: 0,
  memGb: 96,
  edition: 'mix-1',
  pullGb: 0.4,
  benches: null,
  hall: null,
  together: false,
  apart: false,
  borrowed: true,
  expectedS: 100,
  bookmarkS: 0,
  bookmarkWriteS: 0,
  curtainS: 218,
  ...fields,
});
