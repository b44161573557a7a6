/** Extracts the elements of the array `items` from a JSON object without buffering the whole body. */
import { FaultCode } from '@jujubelanding/errors';
import { createRefusal } from './request-context.js';
import { InputError } from './request-body.js';

export enum ScannedPartKind {
  /** JSON object with the fields that precede `items`. */
  Fields = 'fields',
  Item = 'item',
}

export interface ScannedPart {
  kind: ScannedPartKind;
  text: string;
  /** Line on which the text starts, 1-based. */
  line: number;
  /** Position in the array, 0-based. */
  index: number;
}

const ITEMS_START = /^\s*\{[\s\S]*"items"\s*:\s*$/;

const WHITESPACE = /\s/;

/** Characters that change the scanner's state inside a string. */
const STRING_CONTROL_CHARACTERS = /["\\]/g;

const STRUCTURAL_CHARACTERS = /["{}[\]\n]/g;

/**
 * Incremental scanner that splits a body by nesting depth and strings only; its parts are parsed and
 * validated later. Fields must come before `items`, so that the job is known before its items are stored.
 */
export class JsonItemScanner {
  private depth = 0;

  private isInString = false;

  private isEscaped = false;

  private line = 1;

  private text = '';

  private startLine = 1;

  private index = 0;

  private isInItems = false;

  private isPastItems = false;

  private expectsItem = false;

  constructor(private readonly maxItemLength: number) {}

  /** Scans the next chunk of the body and returns the parts that end in it. */
  feed(text: string): ScannedPart[] {
    const parts: ScannedPart[] = [];
    let position = 0;
    while (position < text.length) {
      // Items make up nearly all of a body; they are searched with patterns instead of read by character.
      const isInItem = this.isInItems && this.depth > 2;
      const end = isInItem ? this.consumeItem(text, position) : position + 1;
      const scanned = isInItem ? this.completeItem() : this.scanCharacter(text[position]!);
      position = end;
      if (scanned !== undefined) parts.push(scanned);
      if (this.text.length > this.maxItemLength) {
        const problem = `a part of the body exceeds ${this.maxItemLength} characters`;
        this.reject(FaultCode.TooLarge, problem);
      }
    }
    return parts;
  }

  /** Checks that the body was complete. */
  finish(): void {
    if (!this.isPastItems || this.depth !== 0) {
      this.reject(FaultCode.InvalidInput, 'the body ends before its JSON is complete');
    }
  }

  /** Consumes the text of an item up to its end or the end of the chunk; returns the position after it. */
  private consumeItem(text: string, start: number): number {
    let position = start;
    while (position < text.length && this.depth > 2) {
      if (this.isEscaped) {
        this.isEscaped = false;
        position += 1;
      } else {
        const pattern = this.isInString ? STRING_CONTROL_CHARACTERS : STRUCTURAL_CHARACTERS;
        pattern.lastIndex = position;
        const found = pattern.exec(text)?.index ?? text.length;
        position = found + 1;
        if (found < text.length) this.trackStructure(text[found]!);
        if (text[found] === '\n') this.line += 1;
      }
    }
    const end = Math.min(position, text.length);
    this.text += text.slice(start, end);
    return end;
  }

  private completeItem(): ScannedPart | undefined {
    return this.depth === 2 ? this.emitItem() : undefined;
  }

  private scanCharacter(character: string): ScannedPart | undefined {
    if (character === '\n') this.line += 1;
    if (this.isPastItems) return this.scanAfterItems(character);
    if (this.isInItems) return this.scanBetweenItems(character);
    this.text += character;
    this.trackStructure(character);
    return character === '[' && this.depth === 2 && !this.isInString
      ? this.enterItems()
      : undefined;
  }

  private trackStructure(character: string): void {
    if (this.isInString) {
      if (this.isEscaped) this.isEscaped = false;
      else if (character === '\\') this.isEscaped = true;
      else if (character === '"') this.isInString = false;
      return;
    }
    if (character === '"') this.isInString = true;
    else if (character === '{' || character === '[') this.depth += 1;
    else if (character === '}' || character === ']') this.depth -= 1;
  }

  /** Returns the fields before the array as a JSON object if the array is `items`. */
  private enterItems(): ScannedPart | undefined {
    const before = this.text.slice(0, -1);
    if (!ITEMS_START.test(before)) return undefined;
    const fields = before.replace(/,?\s*"items"\s*:\s*$/, '');
    this.isInItems = true;
    this.text = '';
    return { kind: ScannedPartKind.Fields, text: `${fields}}`, line: 1, index: -1 };
  }

  private scanBetweenItems(character: string): undefined {
    if (WHITESPACE.test(character)) return undefined;
    if (character === ']' && !this.expectsItem) {
      this.isPastItems = true;
      this.depth = 1;
    } else if (character === ',' && this.index > 0 && !this.expectsItem) {
      this.expectsItem = true;
    } else if (character === '{' && (this.index === 0 || this.expectsItem)) {
      this.expectsItem = false;
      this.startLine = this.line;
      this.text = character;
      this.depth = 3;
    } else {
      this.reject(FaultCode.InvalidInput, `unexpected ${character} between items`);
    }
    return undefined;
  }

  private emitItem(): ScannedPart {
    const { text, index, startLine } = this;
    this.text = '';
    this.index += 1;
    return { kind: ScannedPartKind.Item, text, line: startLine, index };
  }

  private scanAfterItems(character: string): undefined {
    if (WHITESPACE.test(character)) return undefined;
    if (character === '}' && this.depth === 1) this.depth = 0;
    else this.reject(FaultCode.InvalidInput, 'fields must come before items');
    return undefined;
  }

  private reject(code: FaultCode, problem: string): never {
    const location = { line: String(this.line), item: String(this.index) };
    const message = `line ${this.line}, item ${this.index}: ${problem}`;
    throw new InputError(createRefusal(code, 'body', message, location));
  }
}

/** Scans a body that arrives in chunks. */
export async function* scanItems(
  texts: AsyncIterable<string>,
  maxItemLength: number,
): AsyncGenerator<ScannedPart> {
  const scanner = new JsonItemScanner(maxItemLength);
  for await (const text of texts) yield* scanner.feed(text);
  scanner.finish();
}
