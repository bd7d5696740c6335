/*
 * One tenant's bucket at its owner, leases of its tokens at two holders, and a request of a third gateway that asks the
 * owner and then a backup. Messages are taken late, more than once or never, requests also by a later process of the owner.
 * The owner restarts once and then knows none of its leases. See spec/README.md for the functions that carry each rule.
 *
 * Never do the tokens in the bucket and those that holders can still use exceed the capacity; never do more requests run
 * than the capacity and the tokens filled in since allow; a token that counts as used when it is granted is used soon; a
 * request runs once. Clocks run at one rate here; the code counts leases longer by the margin of two clocks.
 *
 * A rule is dropped by defining its name, e.g. spin -DDROP_EXPIRY; the model must fail then.
 */

#define HOLDERS 2
#define CAPACITY 2
#define LEASED_CAPACITY 2       /* LEASED_SHARE */
#define YOUNG_CAPACITY 0        /* capacity until a predecessor's leases have expired */
#define LEASE 2                 /* LEASE_MS */
#define SOON 1                  /* IMMEDIATE_MS */
#define LAST_TIME 3
#define FILLS 1
#define asksOf(h) (2 - (h))     /* requests of each holder */
#define q(h, s) ((h) * 4 + (s))

byte time = 0;
byte fills = 0;
byte ran = 0;

/* Owner: OwnedQuota and LeaseBook. */
byte available = CAPACITY;
byte youngUntil = 0;
bool restarted = false;
bool known[HOLDERS];
byte bookSeq[HOLDERS];
byte bookUsed[HOLDERS];
byte bookLeased[HOLDERS];
byte bookUntil[HOLDERS];

/* Holders: HolderLease. */
byte unused[HOLDERS];
byte used[HOLDERS];
byte reported[HOLDERS];
byte until[HOLDERS];
byte newest[HOLDERS];

/* Requests and answers; an answer is 1 + tokens + 4 if the earlier lease was renewed. */
byte sentAt[8];
byte sentUsed[8];
byte sentUnused[8];
byte answer[8];

/* The request of the third gateway: 1 asked, 2 granted and on its way, 3 taken. */
bool waits = false;
byte runs = 0;
byte fromOwner = 0;
byte ownerAskedAt = 0;
byte ownerGrantedAt = 0;
byte fromBackup = 0;
bool backupHas = true;

bool hasHolders;
byte h, s, left, kept, got;

#define leased (bookLeased[0] + bookLeased[1])

#ifdef DROP_EXPIRY
#define isValid(h) (true)
#else
#define isValid(h) (time < until[h])
#endif

#ifdef DROP_SETTLING
#define isSettled (true)
#else
#define isSettled (time >= youngUntil)
#endif

#define canUse(h) (isValid(h) -> unused[h] : 0)
/* Tokens of an answer on its way to its holder, that the holder will accept. */
#define underWay(h) (answer[q(h, newest[h])] != 0 && time < sentAt[q(h, newest[h])] + LEASE -> (answer[q(h, newest[h])] - 1) % 4 : 0)

inline reset() { h = 0; s = 0; left = 0; kept = 0; got = 0 }

inline check() {
  assert(available + canUse(0) + canUse(1) + underWay(0) + underWay(1) <= CAPACITY);
  assert(ran <= CAPACITY + fills);
  assert(runs <= 1)
}

/* consumeLeased */
inline useToken() {
  select (h : 0 .. HOLDERS - 1);
  if
  :: canUse(h) > 0 -> unused[h]--; used[h]++; ran++
  :: else -> skip
  fi
}

/* giveBack: a request ends without having run. */
inline returnToken() {
  select (h : 0 .. HOLDERS - 1);
  if
#ifdef DROP_REPORTED
  :: used[h] > 0 && ran > 0 && time < until[h] -> used[h]--; unused[h]++; ran--
#else
  :: used[h] > reported[h] && ran > 0 && time < until[h] -> used[h]--; unused[h]++; ran--
#endif
  :: else -> skip
  fi
}

/* reportLease */
inline ask() {
  select (h : 0 .. HOLDERS - 1);
  if
  :: newest[h] < asksOf(h) ->
     if
     :: !isValid(h) -> unused[h] = 0
     :: else -> skip
     fi;
#ifndef DROP_NEWEST
     answer[q(h, newest[h])] = 0;
#endif
     newest[h]++;
     s = newest[h];
     sentAt[q(h, s)] = time;
     sentUsed[q(h, s)] = used[h];
     sentUnused[q(h, s)] = unused[h];
     reported[h] = used[h]
  :: else -> skip
  fi
}

/* LeaseBook.report and leaseAhead */
inline grant() {
  select (h : 0 .. HOLDERS - 1);
  select (s : 1 .. 2);
  if
#ifdef DROP_SEQUENCE
  :: s <= newest[h] ->
#else
  :: s <= newest[h] && !(known[h] && s <= bookSeq[h]) ->
#endif
     left = 0;
     kept = 0;
     if
     :: known[h] && bookLeased[h] + bookUsed[h] >= sentUsed[q(h, s)] + sentUnused[q(h, s)] ->
        left = bookLeased[h] + bookUsed[h] - sentUsed[q(h, s)];
        kept = sentUnused[q(h, s)];
        available = available + left - kept;
        got = 4
     :: else -> got = 0
     fi;
     known[h] = true;
     bookSeq[h] = s;
     bookUsed[h] = sentUsed[q(h, s)];
     bookLeased[h] = kept;
     bookUntil[h] = time + LEASE;
     if
     :: isSettled && available > 0 && leased < LEASED_CAPACITY ->
        available--; bookLeased[h]++; got++
     :: skip
     fi;
     if
     :: isSettled && got % 4 == 1 && available > 0 && leased < LEASED_CAPACITY ->
        available--; bookLeased[h]++; got++
     :: skip
     fi;
#ifdef DROP_NEWEST
     answer[q(h, s)] = 1 + got
#else
     if
     :: s == newest[h] -> answer[q(h, s)] = 1 + got
     :: else -> skip
     fi
#endif
  :: else -> skip
  fi
}

/* applyLease */
inline take() {
  select (h : 0 .. HOLDERS - 1);
#ifdef DROP_NEWEST
  select (s : 1 .. 2);
#else
  s = newest[h];
#endif
  if
  :: answer[q(h, s)] != 0 ->
     got = answer[q(h, s)] - 1;
     answer[q(h, s)] = 0;
     if
     :: !isValid(h) -> unused[h] = 0
     :: else -> skip
     fi;
#ifndef DROP_RENEWAL
     if
     :: got < 4 -> unused[h] = 0; used[h] = reported[h]
     :: else -> skip
     fi;
#endif
     unused[h] = unused[h] + got % 4;
#ifdef DROP_FROM_SENDING
     until[h] = time + LEASE;
#else
     until[h] = sentAt[q(h, s)] + LEASE;
#endif
     if
     :: !isValid(h) -> unused[h] = 0
     :: else -> skip
     fi
  :: else -> skip
  fi
}

/* fillBucket */
inline fill() {
  if
#ifdef DROP_LEASED
  :: fills < FILLS && available < CAPACITY -> available++; fills++
#else
  :: fills < FILLS && available + leased < (isSettled -> CAPACITY : YOUNG_CAPACITY) ->
     available++; fills++
#endif
  :: else -> skip
  fi
}

/* createOwnedQuota of a new process; what it may hold at once is paid for by the excess. */
inline restart() {
  if
  :: !restarted ->
     restarted = true;
#ifdef DROP_EMPTY_START
     available = CAPACITY;
#else
     available = 0;
#endif
     youngUntil = time + LEASE;
     h = 0;
     do
     :: h < HOLDERS ->
        known[h] = false; bookSeq[h] = 0; bookUsed[h] = 0; bookLeased[h] = 0; bookUntil[h] = 0; h++
     :: else -> break
     od
  :: else -> skip
  fi
}

/* askNext: the owner is asked first, a backup after a timeout. */
inline askForRequest() {
  if
  :: fromOwner == 0 -> waits = true; fromOwner = 1; ownerAskedAt = time
  :: fromOwner > 0 && waits && fromBackup == 0 -> fromBackup = 1
  :: else -> skip
  fi
}

/* grantNeeded, grantAsBackup */
inline grantForRequest() {
  if
  :: fromOwner == 1 && available > 0 -> available--; fromOwner = 2; ownerGrantedAt = time
  :: fromBackup == 1 && backupHas -> backupHas = false; fromBackup = 2
  :: else -> skip
  fi
}

/* handleTokenAnswer: an answer that is late finds no request that waits. */
#ifdef DROP_ONE_ADMISSION
#define mayRun (true)
#else
#define mayRun (waits)
#endif
#ifdef DROP_SOON
#define isSoon (true)
#else
#define isSoon (time <= ownerAskedAt + SOON)
#endif

inline takeForRequest() {
  if
  :: fromOwner == 2 ->
     fromOwner = 3;
     if
     :: mayRun && isSoon ->
        assert(time <= ownerGrantedAt + SOON);
        waits = false; runs++; ran++
     :: else -> skip
     fi
  :: fromBackup == 2 ->
     fromBackup = 3;
     if
     :: mayRun -> waits = false; runs++
     :: else -> skip
     fi
  :: else -> skip
  fi
}

/* LeaseBook.expire: the tokens may have been used, and do not return. */
inline tick() {
  if
  :: time < LAST_TIME ->
     time++;
     h = 0;
     do
     :: h < HOLDERS ->
        if
        :: known[h] && bookUntil[h] <= time ->
#ifdef DROP_BURN
           available = available + bookLeased[h];
#endif
           known[h] = false; bookSeq[h] = 0; bookUsed[h] = 0; bookLeased[h] = 0; bookUntil[h] = 0
        :: else -> skip
        fi;
        h++
     :: else -> break
     od
  :: else -> skip
  fi
}

init {
  /* The holders' leases and the request of the third gateway are explored apart. */
  if
  :: hasHolders = false
  :: hasHolders = true
  fi;
  do
  :: atomic { hasHolders; useToken(); check(); reset() }
  :: atomic { hasHolders; returnToken(); check(); reset() }
  :: atomic { hasHolders; ask(); check(); reset() }
  :: atomic { hasHolders; grant(); check(); reset() }
  :: atomic { hasHolders; take(); check(); reset() }
  :: atomic { skip; fill(); check(); reset() }
  :: atomic { skip; restart(); check(); reset() }
  :: atomic { !hasHolders; askForRequest(); reset() }
  :: atomic { !hasHolders; grantForRequest(); check(); reset() }
  :: atomic { !hasHolders; takeForRequest(); check(); reset() }
  :: atomic { skip; tick(); check(); reset() }
  od
}
