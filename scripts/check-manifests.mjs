// Checks that each package declares exactly the packages that it imports; --fix rewrites the manifests.
import { readFile, readdir, writeFile } from 'node:fs/promises';
import { builtinModules } from 'node:module';
import console from 'node:console';
import path from 'node:path';
import process from 'node:process';

const IMPORT = /(?:from|import)\s*\(?\s*'([^'.][^']*)'/g;
const builtins = new Set(builtinModules);
const fix = process.argv.includes('--fix');

const root = JSON.parse(await readFile('package.json', 'utf8'));
const rootVersions = { ...root.dependencies, ...root.devDependencies };

const getPackageName = (specifier) =>
  specifier
    .split('/')
    .slice(0, specifier.startsWith('@') ? 2 : 1)
    .join('/');

const listSources = async (folder) => {
  const entries = await readdir(folder, { recursive: true, withFileTypes: true });
  return entries
    .filter((entry) => entry.isFile() && entry.name.endsWith('.ts'))
    .map((entry) => path.join(entry.parentPath ?? entry.path, entry.name));
};

const findImports = async (folder, wantTests) => {
  const names = new Set();
  for (const file of await listSources(folder)) {
    const isTest = /\.test\.ts$|\/fixtures\//.test(file);
    if (isTest !== wantTests) continue;
    const source = await readFile(file, 'utf8');
    for (const [, specifier] of source.matchAll(IMPORT)) {
      const name = getPackageName(specifier);
      if (!name.startsWith('node:') && !builtins.has(name)) names.add(name);
    }
  }
  return names;
};

const toVersions = (names) =>
  Object.fromEntries(
    [...names]
      .sort()
      .map((name) => [name, name.startsWith('@jujubelanding/') ? '0.1.0' : rootVersions[name]]),
  );

let differences = 0;
const packages = (await readdir('packages')).map((folder) => path.join('packages', folder));
for (const folder of [...packages, 'platform']) {
  const file = path.join(folder, 'package.json');
  const manifest = JSON.parse(await readFile(file, 'utf8'));
  const used = await findImports(path.join(folder, 'src'), false);
  const tested = await findImports(path.join(folder, 'src'), true);
  used.delete(manifest.name);
  tested.delete(manifest.name);
  used.forEach((name) => tested.delete(name));
  const { dependencies: oldUsed, devDependencies: oldTested, ...rest } = manifest;
  const wanted = {
    ...rest,
    ...(used.size > 0 ? { dependencies: toVersions(used) } : {}),
    ...(tested.size > 0 ? { devDependencies: toVersions(tested) } : {}),
  };
  const text = `${JSON.stringify(wanted, null, 2)}\n`;
  if (text === `${JSON.stringify(manifest, null, 2)}\n`) continue;
  differences += 1;
  if (fix) await writeFile(file, text);
  else console.error(`${file}: dependencies differ from imports; run npm run manifests -- --fix`);
}
if (differences > 0 && !fix) process.exitCode = 1;
