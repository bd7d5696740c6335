/** The platform's store and machine list for tests in virtual time. */
import type { Machine, StoreContent, StoreObject } from '../../src/catalog/store-object.js';
import { identifier, type ObjectName } from '../../src/core/identifiers.js';

/** Holds the objects and machines of the store; the cluster simulates the network access. */
export class VirtualStore {
  readonly objects = new Map<string, StoreObject>();
  readonly machines: Machine[] = [];
  revision = 0;
  down = false;

  /** Writes an object whatever its current version. */
  write(name: string, content: StoreContent): StoreObject {
    this.revision += 1;
    const version = (this.objects.get(name)?.version ?? 0) + 1;
    const object = {
      name: identifier<ObjectName>(name),
      version,
      revision: this.revision,
      content,
    };
    this.objects.set(name, object);
    return object;
  }

  /** Returns the objects written after `revision`. */
  changesAfter(revision: number): StoreObject[] {
    return [...this.objects.values()].filter((object) => object.revision > revision);
  }

  /** Restores the objects of a backup that was made at `revision`. */
  restore(backup: readonly StoreObject[], revision: number): void {
    this.objects.clear();
    for (const object of backup) {
      this.objects.set(object.name, object);
    }
    this.revision = revision;
  }
}
