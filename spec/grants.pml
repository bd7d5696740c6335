/*
 * The grants of one limit of 1: two nodes that may hold its lease, two nodes that use it. That at most
 * one holds the lease at a time is what spec/lease.pml shows; here it passes from one to the other at
 * any time, and lasts as long as it is renewed. See spec/README.md for the functions of the core that carry each rule. One process takes all
 * steps; a message that was sent may be taken at any later time, any number of times, or never; a step
 * may be late by any time, which is what a pause is. Each node asks whichever holder it likes: views
 * are anything.
 *
 * Never may both nodes use the limit at the same time. Queries that run on after a grant has lapsed
 * are not in the model: the core counts a grant for their deadline longer. All clocks run at one rate
 * here; the core lengthens what it waits for by CLOCK_RATE_MARGIN.
 *
 * A rule is dropped by defining its name, e.g. spin -DDROP_EXPIRY; the model must fail then.
 */

#define HOLDERS 2
#define NODES 2
#define asksOf(n) (ASKS - (n))  /* the second node asks once less */
#define LAST_TIME 4
#define ASKS 2      /* requests the first node makes */
#define NOBODY 2
#define GRANT 2     /* GRANT_MS */

byte time = 0;

byte leader = NOBODY;           /* who holds the lease */
byte adoptUntil[HOLDERS];
bool everHeld[HOLDERS];

/* Book of each holder: until when the grant that answered a request counts; 0 for none. */
byte book[16];
#define entry(h, n, s) book[((h) * NODES + (n)) * 4 + (s)]

/* Requests of each node, numbered from 1, and the answers on their way. */
byte newest[NODES];
bool pending[NODES];
byte sentAt[8];
byte sentTo[8];
bool holds[8];
byte heldThen[8];
byte answer[8];                 /* 0 none, 1 nothing granted, 2 granted, 3 what was held granted again */
#define q(n, s) ((n) * 4 + (s))

/* What each node holds. */
bool held[NODES];
byte expiresAt[NODES];
byte heldNumber[NODES];

byte h, k, n, s;

#ifdef DROP_EXPIRY
#define isUsable(n) (held[n])
#else
#define isUsable(n) (held[n] && time < expiresAt[n])
#endif

#ifdef DROP_LEASE_CHECK
#define holdsLease(h) (everHeld[h])
#else
#define holdsLease(h) (leader == h)
#endif

/* isFirstHolder: no other node has ever held the lease. */
#ifdef DROP_FIRST
#define isFirst(h) true
#else
#define isFirst(h) (!everHeld[1 - h])
#endif

#ifdef DROP_ADOPTION
#define isAdopting(h) false
#else
#define isAdopting(h) (time < adoptUntil[h])
#endif

#define counts(h, n) (time < entry(h, n, 1) || time < entry(h, n, 2) || time < entry(h, n, 3))

#ifdef DROP_BOOK
#define roomFor(h, n) true
#else
#define roomFor(h, n) (!counts(h, 1 - n))
#endif

inline reset() { h = 0; k = 0; n = 0; s = 0 }

/* startTenure: with the lease a new tenure begins, also for one that had it before. */
inline beginTenure() {
  select (h : 0 .. HOLDERS - 1);
  if
  :: (h == 0 || everHeld[0]) ->
     if
     :: !isFirst(h) ->
        s = 0;
        do
        :: s < NODES * 4 -> book[h * NODES * 4 + s] = 0; s++
        :: else -> break
        od;
        adoptUntil[h] = time + GRANT
     :: else -> skip
     fi;
     leader = h;
     everHeld[h] = true
  :: else -> skip
  fi
}

/* The lease lapses or is released. */
inline loseLease() { leader = NOBODY }

/* requestGrant: a node asks any holder and says what it holds. */
inline askGrant() {
  select (n : 0 .. NODES - 1);
  if
  :: newest[n] < asksOf(n) ->
#ifndef DROP_NEWEST
     answer[q(n, newest[n])] = 0;
#endif
     newest[n]++;
     s = newest[n];
     select (h : 0 .. HOLDERS - 1);
     sentAt[q(n, s)] = time;
     sentTo[q(n, s)] = h;
     holds[q(n, s)] = held[n] && time < expiresAt[n];
     heldThen[q(n, s)] = heldNumber[n];
     pending[n] = true
  :: else -> skip
  fi
}

/* applyReport: grants before this request are void, but for the one the node holds. */
inline takeReport() {
  k = 1;
  do
  :: k < s ->
     if
#ifdef DROP_HELD_GRANT
     :: true -> entry(h, n, k) = 0
#else
     :: k != heldThen[q(n, s)] -> entry(h, n, k) = 0
     :: else -> skip
#endif
     fi;
     k++
  :: else -> break
  od
}

inline grantOne(kind) {
  answer[q(n, s)] = kind;
  entry(h, n, s) = time + GRANT
}

/* handleRowGrantRequest: the holder gives what no other node can be using. */
inline giveGrant() {
  select (n : 0 .. NODES - 1);
  select (s : 1 .. ASKS);
  h = sentTo[q(n, s)];
  if
  :: s <= newest[n] && holdsLease(h) ->
     takeReport();
     if
     :: isAdopting(h) && holds[q(n, s)] -> grantOne(3)
     :: !isAdopting(h) && roomFor(h, n) -> grantOne(2)
     :: answer[q(n, s)] = 1
     fi
  :: else -> skip
  fi
}

/* applyGrant: the answer to the newest request, valid from when that was sent. */
inline takeGrant() {
  select (n : 0 .. NODES - 1);
#ifdef DROP_NEWEST
  select (s : 1 .. ASKS);
  if
  :: s > heldNumber[n] && answer[q(n, s)] != 0 ->
#else
  s = newest[n];
  if
  :: pending[n] && answer[q(n, s)] != 0 ->
#endif
     pending[n] = false;
#ifdef DROP_STILL_HELD
     held[n] = (answer[q(n, s)] > 1);
#else
     held[n] = (answer[q(n, s)] == 2 || (answer[q(n, s)] == 3 && isUsable(n)));
#endif
     heldNumber[n] = s;
#ifdef DROP_FROM_SENDING
     expiresAt[n] = time + GRANT
#else
     expiresAt[n] = sentAt[q(n, s)] + GRANT
#endif
  :: else -> skip
  fi
}

/* What has lapsed makes no difference any more: one value stands for all. */
inline forgetLapsed() {
  h = 0;
  do
  :: h < HOLDERS ->
     if
     :: adoptUntil[h] <= time -> adoptUntil[h] = 0
     :: else -> skip
     fi;
     h++
  :: else -> break
  od;
  k = 0;
  do
  :: k < 16 ->
     if
     :: book[k] <= time -> book[k] = 0
     :: else -> skip
     fi;
     k++
  :: else -> break
  od;
#ifndef DROP_FROM_SENDING
  k = 0;
  do
  :: k < 8 ->
     if
     :: sentAt[k] + GRANT <= time -> sentAt[k] = 0; holds[k] = false; answer[k] = 0
     :: else -> skip
     fi;
     k++
  :: else -> break
  od;
#endif
#ifndef DROP_EXPIRY
  n = 0;
  do
  :: n < NODES ->
     if
     :: expiresAt[n] <= time -> held[n] = false; expiresAt[n] = 0
     :: else -> skip
     fi;
     n++
  :: else -> break
  od
#endif
}

inline tick() {
  if
  :: time < LAST_TIME -> time++; forgetLapsed()
  :: else -> skip
  fi
}

init {
  do
  :: atomic { beginTenure(); reset() }
  :: atomic { skip; loseLease(); reset() }
  :: atomic { askGrant(); reset() }
  :: atomic { giveGrant(); reset() }
  :: atomic { takeGrant(); assert(!(isUsable(0) && isUsable(1))); reset() }
  :: atomic { skip; tick(); reset() }
  od
}
