// Checks that the dependencies of each package.json match the imports; --fix rewrites the manifests.
import { readFile, readdir, writeFile } from 'node:fs/promises';
import { builtinModules } from 'node:module';
import console from 'node:console';
import path from 'node:path';
import process from 'node:process';

const IMPORT_PATTERN = /(?:from|import)\s*\(?\s*'([^'.][^']*)'/g;
const builtins = new Set(builtinModules);
const shouldFix = process.argv.includes('--fix');

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

const findImports = async (folder, ofTests) => {
  const names = new Set();
  for (const file of await listSources(folder)) {
    const isTest = /\.test\.ts$|\/fixtures\//.test(file);
    if (isTest !== ofTests) continue;
    const source = await readFile(file, 'utf8');
    for (const [, specifier] of source.matchAll(IMPORT_PATTERN)) {
      const name = getPackageName(specifier);
      if (!name.startsWith('node:') && !builtins.has(name)) names.add(name);
    }
  }
  return names;
};

const createDependencies = (names) =>
  Object.fromEntries(
    [...names]
      .sort()
      .map((name) => [name, name.startsWith('@jujubelanding/') ? '0.1.0' : rootVersions[name]]),
  );

let mismatches = 0;
const packages = (await readdir('packages')).map((folder) => path.join('packages', folder));
for (const folder of [...packages, 'platform']) {
  const file = path.join(folder, 'package.json');
  const manifest = JSON.parse(await readFile(file, 'utf8'));
  const dependencyNames = await findImports(path.join(folder, 'src'), false);
  const devDependencyNames = await findImports(path.join(folder, 'src'), true);
  dependencyNames.delete(manifest.name);
  devDependencyNames.delete(manifest.name);
  dependencyNames.forEach((name) => devDependencyNames.delete(name));
  const { dependencies: oldDependencies, devDependencies: oldDevDependencies, ...rest } = manifest;
  const expectedManifest = {
    ...rest,
    ...(dependencyNames.size > 0 ? { dependencies: createDependencies(dependencyNames) } : {}),
    ...(devDependencyNames.size > 0
      ? { devDependencies: createDependencies(devDependencyNames) }
      : {}),
  };
  const text = `${JSON.stringify(expectedManifest, null, 2)}\n`;
  if (text === `${JSON.stringify(manifest, null, 2)}\n`) continue;
  mismatches += 1;
  if (shouldFix) await writeFile(file, text);
  else console.error(`${file}: dependencies differ from imports; run npm run manifests -- --fix`);
}
if (mismatches > 0 && !shouldFix) process.exitCode = 1;
