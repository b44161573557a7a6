/** All commands by name. */
import type { Command } from '../command-line/command.js';
import { apply } from './apply/index.js';
import { chat } from './chat/index.js';
import { deleteRecord } from './delete/index.js';
import { entryPoints } from './entry-points/index.js';
import { explain } from './explain/index.js';
import { get } from './get/index.js';
import { history } from './history/index.js';
import { jobsCancel } from './jobs-cancel/index.js';
import { jobsList } from './jobs-list/index.js';
import { jobsResults } from './jobs-results/index.js';
import { jobsShow } from './jobs-show/index.js';
import { jobsSubmit } from './jobs-submit/index.js';
import { list } from './list/index.js';
import { status } from './status/index.js';

export const COMMANDS: Readonly<Record<string, Command>> = {
  apply,
  get,
  list,
  history,
  delete: deleteRecord,
  status,
  'jobs submit': jobsSubmit,
  'jobs list': jobsList,
  'jobs show': jobsShow,
  'jobs cancel': jobsCancel,
  'jobs results': jobsResults,
  'entry-points': entryPoints,
  chat,
  explain,
};
