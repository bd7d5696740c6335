import { describe, expect, it } from 'vitest';
import { readFigures, readObjections } from '../../scenarios/platform/compare/figures.mjs';
import {
  groupByDay,
  meanOf,
  pairPlays,
  type Play,
  spreadOf,
  summarize,
} from '../../scenarios/platform/compare/paired.mjs';

const playOf = (way: string, seed: string, worth: number, day = 'scale-1'): Play => ({
  way,
  site: 'site',
  day,
  seed,
  figures: { worth },
});

describe('mean and spread', () => {
  it('are those of a sample', () => {
    expect(meanOf([1, 2, 6])).toBe(3);
    expect(spreadOf([1, 2, 6])).toBeCloseTo(Math.sqrt(7), 12);
    expect(spreadOf([0.5, 0.5])).toBe(0);
  });

  it('are undefined without values, and the spread also for a single value', () => {
    expect(meanOf([])).toBeUndefined();
    expect(spreadOf([])).toBeUndefined();
    expect(spreadOf([4])).toBeUndefined();
  });
});

describe('paired plays', () => {
  const plays = [
    playOf('early', '2', 0.9),
    playOf('stands', '1', 0.5),
    playOf('stands', '2', 0.7),
    playOf('early', '1', 0.6),
  ];

  it('are matched by site, day and seed, in any order', () => {
    const pairs = pairPlays(plays, 'stands', 'early');
    expect(pairs.map(({ base, other }) => [base.seed, other.seed])).toEqual([
      ['2', '2'],
      ['1', '1'],
    ]);
    expect(summarize(pairs, 'worth').mean).toBeCloseTo(0.15, 12);
    expect(summarize(pairs, 'worth').spread).toBeCloseTo(Math.sqrt(0.005), 12);
  });

  it('leave out a play without a counterpart', () => {
    const some = [...plays, playOf('early', '3', 0.1), playOf('stands', '4', 0.1)];
    expect(pairPlays(some, 'stands', 'early')).toHaveLength(2);
    const otherDay = [playOf('stands', '1', 0.5), playOf('early', '1', 0.5, 'scale-2')];
    expect(summarize(pairPlays(otherDay, 'stands', 'early'), 'worth')).toEqual({
      pairs: 0,
      mean: undefined,
      spread: undefined,
    });
  });

  it('are grouped by site and day', () => {
    const days = [...plays, playOf('stands', '1', 0, 'quiet'), playOf('early', '1', 1, 'quiet')];
    const groups = groupByDay(pairPlays(days, 'stands', 'early'));
    expect([...groups].map(([day, pairs]) => [day, pairs.length])).toEqual([
      ['site scale-1', 2],
      ['site quiet', 1],
    ]);
  });
});

describe('the figures of a report', () => {
  const report = {
    G: 0.72,
    arrivals: 900,
    all: { n: 110, in_aim: 80, not_owed: 10 },
    parts: [['whole day', 0.4, 0.95]] as const,
    services: [{ again: 3 }, { again: 4 }],
    prices: [
      ['GB between zones', 0.25, 0.1],
      ['GB between regions', 0.5, 0.1],
      ['new connections to servers', 57, 0.1],
      ['cloud calls', 40, 0.1],
    ] as readonly (readonly [string, number, number])[],
    breaks: {},
    fault: null,
  };

  it('are amounts rather than prices', () => {
    expect(readFigures(report)).toEqual({
      worth: 0.72,
      credit: 0.95,
      'in aim': 0.8,
      arrivals: 900,
      again: 7,
      connections: 57,
      'zone MB': 750,
      'store calls': 40,
    });
  });

  it('count only bytes between zones if there is a single region', () => {
    const prices = report.prices.filter(([name]) => name !== 'GB between regions');
    expect(readFigures({ ...report, prices })).toMatchObject({ 'zone MB': 250 });
  });

  it('are rejected if one is missing, since a zero would look like a measurement', () => {
    const without = (part: string): typeof report => ({
      ...report,
      prices: report.prices.filter(([name]) => !name.includes(part)),
    });
    expect(() => readFigures(without('GB'))).toThrow(/GB between zones or GB between regions/);
    expect(() => readFigures(without('cloud'))).toThrow(/cloud calls/);
    expect(() => readFigures({ ...report, parts: [] })).toThrow(/whole day/);
  });

  it('come with the rule violations and faults that void a day', () => {
    expect(readObjections(report)).toEqual([]);
    const broken = { ...report, breaks: { GONE: 3 }, fault: 'memory' };
    expect(readObjections(broken)).toEqual(['rule broken: GONE', 'fault: memory']);
  });
});
