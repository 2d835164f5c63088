/** Processor time and memory of other processes of this machine, from /proc. */
import { readFileSync } from 'node:fs';

/** Linux counts processor time for /proc in hundredths of a second, whatever the kernel's own rate. */
const MS_PER_CLOCK_TICK = 10;
const KILOBYTES_PER_MB = 1024;
/** Fields of /proc/PID/stat after the name: user and system time. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

/** What a process has used so far, and holds now. */
export interface ProcessUsage {
  readonly processorMs: number;
  readonly residentMb: number;
}

/** Null: there is no such process. */
export function readUsage(pid: number): ProcessUsage | null {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const ticks = Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD]);
    const resident = /^VmRSS:\s+(\d+) kB/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
    return {
      processorMs: ticks * MS_PER_CLOCK_TICK,
      residentMb: Number(resident?.[1] ?? 0) / KILOBYTES_PER_MB,
    };
  } catch {
    return null;
  }
}
