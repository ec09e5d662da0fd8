import {expect} from 'chai';
import {classifyOutcome} from '../response-ends/classifyOutcome.ts';
import type {OutcomeClass} from '../response-ends/classifyOutcome.ts';
import {MessageReader} from '../response-ends/messageReader.ts';
import type {AttemptRecord, ReceivedResponse, Trial} from '../response-ends/trial.ts';

const wholeDigest = 'whole';
const partDigest = 'part';

/** What differs in a case from a sound response without a length, of which the caller got a part. */
interface Case {
  readonly trial?: Partial<Trial>;
  readonly attempt?: Partial<AttemptRecord>;
  readonly received?: Partial<ReceivedResponse>;
}

function classify({trial, attempt, received}: Case): OutcomeClass {
  return classifyOutcome(
    {way: 'alone', framing: 'none', end: 'closedEarly', copyForm: 'whole', ...trial},
    [
      {
        attempt: 1,
        wholeDigest,
        isSound: false,
        writtenBytes: 10,
        writtenDigest: undefined,
        ending: 'open',
        isDeclaredByServer: false,
        ...attempt,
      },
    ],
    {
      status: 200,
      framing: 'close',
      bytes: 10,
      digest: partDigest,
      ending: 'closed',
      refusal: '',
      ...received,
    },
  );
}

describe('the oracle of response ends', () => {
  const closed = {ending: 'closed', writtenDigest: partDigest} as const;

  // Guards against an oracle that allows what a host must not do.
  it('finds what a host declares or closes without evidence', () => {
    const declared = {received: {ending: 'declared'}} as const;
    expect(classify({...declared, attempt: closed})).to.equal('falselyDeclared');
    expect(classify({...declared, attempt: {ending: 'reset'}})).to.equal('falselyDeclared');
    const isDeclaredByServer = true;
    expect(classify({...declared, attempt: {isDeclaredByServer}})).to.equal('falselyDeclared');
    expect(classify({attempt: {ending: 'reset'}})).to.equal('falselyClosed');
    expect(classify({})).to.equal('falselyClosed');
    expect(classify({attempt: {...closed, writtenDigest: 'more'}})).to.equal('falselyClosed');
    const trial = {end: 'lateCopy'} as const;
    expect(classify({trial, attempt: closed})).to.equal('falselyClosed');
  });

  // Guards against an oracle that blames a host for what it cannot know.
  it('allows what nobody can tell', () => {
    expect(classify({attempt: closed})).to.equal('closedEarlyByServer');
    expect(classify({trial: {way: 'hostKilled'}})).to.equal('closedByKill');
    const trial = {framing: 'length'} as const;
    const received = {framing: 'length', ending: 'declared'} as const;
    const attempt = {isDeclaredByServer: true};
    expect(classify({trial, received, attempt})).to.equal('declaredByServer');
    expect(classify({received: {digest: wholeDigest}})).to.equal('delivered');
    expect(classify({received: {ending: 'broken'}})).to.equal('broken');
  });

  // Guards against sound responses that are broken off or refused unnoticed.
  it('finds sound responses that were lost', () => {
    const attempt = {isSound: true, ending: 'whole'} as const;
    expect(classify({attempt, received: {ending: 'broken'}})).to.equal('lost');
    expect(classify({attempt, received: {status: 502}})).to.equal('lost');
    expect(classify({received: {status: 502}})).to.equal('refused');
  });
});

describe('the reader of HTTP messages in trials', () => {
  const head = 'HTTP/1.1 200 OK\r\n';
  const messages = [
    {text: `${head}Content-Length: 3\r\n\r\nabcd`, framing: 'length', isEnded: true, rest: 'd'},
    {text: `${head}Content-Length: 3\r\n\r\nab`, framing: 'length', isEnded: false, rest: ''},
    {
      text: `${head}Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\nd`,
      framing: 'chunked',
      isEnded: true,
      rest: 'd',
    },
    {
      text: `${head}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n`,
      framing: 'chunked',
      isEnded: false,
      rest: '',
    },
    {text: `${head}Connection: close\r\n\r\nabc`, framing: 'close', isEnded: false, rest: ''},
  ];

  // Guards against a caller that takes a part for the whole, however its bytes are divided.
  it('finds the declared end, byte by byte and at once', () => {
    for (const {text, ...expected} of messages) {
      for (const pieces of [[text], [...text]]) {
        const reader = new MessageReader('response');
        for (const piece of pieces) {
          reader.push(Buffer.from(piece, 'latin1'));
        }
        const {framing, isEnded, rest} = reader;
        expect({framing, isEnded, rest: rest.toString()}, text).to.deep.equal(expected);
      }
    }
  });
});
