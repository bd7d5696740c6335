import { describe, expect, it } from 'vitest';
import { readNodeSettings } from '../../src/settings/read-node-settings.js';

const VALID_SETTINGS = `node: bole-1
zone: bole
region: addis
caller: 127.0.0.1:8080
peer: 127.0.0.1:8081
operator: "[::1]:8082"
platform: http://127.0.0.1:7000
seeds:
  - 127.0.0.1:9081
peerSecret: sixteen-characters
`;

const findingsOf = (text: string, overrides = {}) =>
  readNodeSettings({ fileName: 'node.yaml', text }, overrides).swap().orDefault([]);

describe('readNodeSettings', () => {
  it('applies the defaults', () => {
    const settings = readNodeSettings({
      fileName: 'node.yaml',
      text: VALID_SETTINGS,
    }).unsafeCoerce();
    expect(settings.caller).toEqual({ host: '127.0.0.1', port: 8080 });
    expect(settings.operator).toEqual({ host: '::1', port: 8082 });
    expect(settings.seeds).toEqual([{ host: '127.0.0.1', port: 9081 }]);
    expect(settings.logLevel).toBe('info');
    expect('seed' in settings).toBe(false);
  });

  it('overrides the file by flags', () => {
    const settings = readNodeSettings(
      { fileName: 'node.yaml', text: VALID_SETTINGS },
      { zone: 'arada', seed: 7 },
    ).unsafeCoerce();
    expect([settings.zone, settings.seed]).toEqual(['arada', 7]);
  });

  it('reports every invalid field in one run, each with its place', () => {
    const findings = findingsOf(
      [
        'node: "no spaces allowed"',
        'zone: 3',
        'caller: localhost:80',
        'peer: 0.0.0.0:99',
        'operator: 127.0.0.1:70000',
        'platform: https://example.org/x',
        'seeds:',
        '  - 127.0.0.1:1',
        '  - 127.0.0.1:0',
        'peerSecret: short',
        'logLevel: loud',
        'seed: 1.5',
        'colour: red',
      ].join('\n'),
    );
    const places = findings.map((finding) => finding.place).sort();
    expect(places).toEqual(
      [
        'node.yaml region',
        'node.yaml:1:7 node',
        'node.yaml:2:7 zone',
        'node.yaml:3:9 caller',
        'node.yaml:4:7 peer',
        'node.yaml:5:11 operator',
        'node.yaml:6:11 platform',
        'node.yaml:9:5 seeds.1',
        'node.yaml:10:13 peerSecret',
        'node.yaml:11:11 logLevel',
        'node.yaml:12:7 seed',
        'node.yaml:13:9 colour',
      ].sort(),
    );
    expect(findings.every((finding) => finding.problem.length > 0)).toBe(true);
  });

  it('reports an invalid flag by the name of the flag', () => {
    expect(findingsOf(VALID_SETTINGS, { zone: '' }).map((finding) => finding.place)).toEqual([
      '--zone',
    ]);
  });

  it.each([
    ['a: [', 'node.yaml:'],
    ['- 1', 'node.yaml:1:1'],
    ['a: 1\na: 2', 'node.yaml:2:1'],
  ])('reports a text that is not a settings file: %j', (text, place) => {
    expect(findingsOf(text)[0]?.place).toContain(place);
  });
});
