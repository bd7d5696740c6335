import { describe, expect, it } from 'vitest';
import { AnswerMemory, type HeldAnswer } from '../../src/gateway/runtime/answer-memory.js';

const LIMIT_BYTES = 100;

const createAnswer = (rank: number) => {
  const answer = {
    rank,
    isGivenUp: false as boolean,
    giveUp: (): void => {
      answer.isGivenUp = true;
    },
  } satisfies HeldAnswer & { isGivenUp: boolean };
  return answer;
};

describe('the memory of answers', () => {
  it('gives up the largest answer of the least urgent class that holds more than its share', () => {
    const memory = new AnswerMemory(LIMIT_BYTES);
    const [urgent, small, large] = [createAnswer(0), createAnswer(2), createAnswer(1)];
    memory.add(small, 10);
    memory.add(urgent, 40);
    memory.add(large, 45);
    expect([urgent, small, large].some(({ isGivenUp }) => isGivenUp)).toBe(false);
    memory.add(urgent, 10);
    expect([urgent, small, large].map(({ isGivenUp }) => isGivenUp)).toEqual([false, false, true]);
    expect(memory.heldBytes).toBe(60);
  });

  it('gives up the answer itself if no other holds more than its share', () => {
    const memory = new AnswerMemory(LIMIT_BYTES);
    const [first, second] = [createAnswer(0), createAnswer(0)];
    memory.add(first, 20);
    memory.add(second, 90);
    expect([first, second].map(({ isGivenUp }) => isGivenUp)).toEqual([false, true]);
  });

  it('has room again once answers have been read', () => {
    const memory = new AnswerMemory(LIMIT_BYTES);
    const [first, second] = [createAnswer(0), createAnswer(0)];
    memory.add(first, 90);
    memory.release(first);
    memory.add(second, 90);
    expect([first, second].some(({ isGivenUp }) => isGivenUp)).toBe(false);
  });
});
