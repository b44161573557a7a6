/** A batch route, and the calls of its clients. */
import { call, HOST } from './client.mjs';

export const JOB = '7c41e09b52d6a3f8';

export const SERVICE = 'engines';

/** A configuration with the batch route of the sheet of `match-sheet-lot`. */
export const createConfiguration = (version = 3, changes = {}) => ({
  version,
  routes: [
    {
      name: 'lots',
      host: HOST,
      prefix: '/pule252/',
      kind: 'batch',
      service: SERVICE,
      timeoutMs: 15_000,
      sloMs: 500,
      dueMs: 18_000,
      maxAttempts: 3,
      itemTtlS: 60,
      priority: 2,
      ...changes,
    },
  ],
  services: [{ name: SERVICE, healthPath: '/healthz', maxConns: 300 }],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15_000,
  },
});

const createItems = (count, job) =>
  Array.from({ length: count }, (_, index) => ({
    id: `${job}-${index}`,
    path: `/pule252/3/${index}`,
    headers: { 'Jujubelanding-Model': 'm', 'Jujubelanding-Token-Usage': '540,400' },
    body: 'q83vEjRWeJA=',
    tokenCount: 940,
  }));

/** Submits a job of some items at a VM, which has to accept it. */
export const submit = async (deployment, vm, count, job = JOB) => {
  const body = JSON.stringify({ items: createItems(count, job) });
  const headers = { 'Content-Type': 'application/json', 'Jujubelanding-Attempt-Id': job };
  const { status } = await call(vm.address, 'POST', '/pule252/7c41e0', headers, body);
  deployment.record('submitted', { job, vm: vm.name, status });
  if (status !== 202) throw new Error(`the job was answered ${status}`);
};

/** Reads all results of a job; none if the VM does not answer with them. */
export const readResults = async (vm, job = JOB) => {
  try {
    const { status, text } = await call(vm.address, 'GET', `/lots/${job}?after=0`, {});
    return status === 200 ? JSON.parse(text).results : [];
  } catch {
    return [];
  }
};

/** Returns the VM that executes a job by the entry in the store. */
export const findOwner = ({ vms, store }, job = JOB) =>
  vms.find(({ name }) => store.read(`jj/owner/${job}`)?.entryVmId === name);
