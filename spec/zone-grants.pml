/*
 * A limit of 1 over two levels: its holder gives to two dividers, which let nodes use what they hold.
 * The first divider may be started again. The holder is one and keeps its lease; how that passes on is
 * what spec/lease.pml and spec/grants.pml show, and grants.pml also shows how one book of two grantees
 * stays within its bound: dividers keep the same book. See spec/README.md for the functions of the core
 * that carry each rule. One process takes all steps; a message that was sent may be taken at any later
 * time, any number of times, or never; a step may be late by any time, which is what a pause is.
 *
 * Never may nodes use the limit below two dividers, or below two processes of one, at the same time.
 * Amounts above one and clocks of different rates are not in the model.
 *
 * A rule is dropped by defining its name, e.g. spin -DDROP_END; the model must fail then.
 */

#define DIVIDERS 2
#define LAST_TIME 2
#define ASKS 3          /* requests of the first divider; the other asks once */
#define asksOf(d) (ASKS - 2 * (d))
#define GRANT 2         /* GRANT_MS */
#define PROCESSES 2     /* of the first divider */

byte time = 0;

/* The holder's book: until when a divider's slice counts, by process of the divider and request. */
byte book[16];
#define entry(d, p, s) book[((d) * PROCESSES + (p)) * 4 + (s)]
byte usedUntil[4];
byte taken[4];
#define of(d, p) ((d) * PROCESSES + (p))

/* Dividers: process, newest request, its answer, and what is held. */
byte process[DIVIDERS];
byte newest[DIVIDERS];
bool pending[DIVIDERS];
byte sentAt[8];
byte heldThen[8];
bool usedThen[8];
byte processThen[8];
byte answer[8];                 /* 0 none, 1 nothing granted, 2 granted */
#define q(d, s) ((d) * 4 + (s))
bool held[DIVIDERS];
byte expiresAt[DIVIDERS];
byte heldNumber[DIVIDERS];

/* Until when a node may use what a process of a divider gave it, and what that process counts. */
byte useUntil[4];
byte countsUntil[4];

byte d, k, s;

#ifdef DROP_DIVIDER_EXPIRY
#define divides(d) (held[d])
#else
#define divides(d) (held[d] && time < expiresAt[d])
#endif

#define countsSlices(i) (time < book[(i) * 4 + 1] || time < book[(i) * 4 + 2] || time < book[(i) * 4 + 3])
#define counts(i) (countsSlices(i) || time < usedUntil[i])

/* chooseAmount of the holder: there is room when no other slice counts. */
#ifdef DROP_HOLDER_BOOK
#define isRoomFor(i) true
#else
#define isRoomFor(i) ((i == 0 || !counts(0)) && (i == 1 || !counts(1)) && (i == 2 || !counts(2)))
#endif

#ifdef DROP_IN_USE
#define inUse(d) false
#else
#define inUse(d) (time < countsUntil[of(d, process[d])])
#endif

#ifdef DROP_ORDER
#define isInOrder(i, s) true
#else
#define isInOrder(i, s) (s >= taken[i])
#endif

#define usesBelow(i) (time < useUntil[i])

inline reset() { d = 0; k = 0; s = 0 }

/* A new process of a divider knows nothing of what the earlier one gave. */
inline restart() {
  if
  :: process[0] == 0 ->
#ifndef DROP_PROCESS
     process[0] = 1;
#endif
     pending[0] = false;
     held[0] = false;
     heldNumber[0] = 0;
     countsUntil[of(0, 0)] = 0
  :: else -> skip
  fi
}

/* requestDividerGrant: a divider asks and reports what may be in use below it. */
inline askHolder() {
  select (d : 0 .. DIVIDERS - 1);
  if
  :: newest[d] < asksOf(d) ->
     answer[q(d, newest[d])] = 0;
     newest[d]++;
     s = newest[d];
     sentAt[q(d, s)] = time;
     heldThen[q(d, s)] = (held[d] -> heldNumber[d] : 0);
     usedThen[q(d, s)] = inUse(d);
     processThen[q(d, s)] = process[d];
     pending[d] = true
  :: else -> skip
  fi
}

/* grantSlice: the answer may be less than there is room for. */
inline giveToDivider() {
  select (d : 0 .. DIVIDERS - 1);
  select (s : 1 .. ASKS);
  k = of(d, processThen[q(d, s)]);
  if
  :: s <= newest[d] && isInOrder(k, s) ->
     taken[k] = s;
     takeReport();
     usedUntil[k] = (usedThen[q(d, s)] -> time + GRANT : 0);
     if
     :: isRoomFor(k) -> answer[q(d, s)] = 2; book[k * 4 + s] = time + GRANT
     :: answer[q(d, s)] = 1
     fi
  :: else -> skip
  fi
}

/* applyReport: slices before this request are void, but for the one the divider holds. */
inline takeReport() {
  if
  :: s > 1 && heldThen[q(d, s)] != 1 -> book[k * 4 + 1] = 0
  :: else -> skip
  fi;
  if
  :: s > 2 && heldThen[q(d, s)] != 2 -> book[k * 4 + 2] = 0
  :: else -> skip
  fi
}

/* applyGrant. */
inline takeOfHolder() {
  select (d : 0 .. DIVIDERS - 1);
  s = newest[d];
  if
  :: pending[d] && answer[q(d, s)] != 0 ->
     pending[d] = false;
     held[d] = (answer[q(d, s)] == 2);
     heldNumber[d] = s;
#ifdef DROP_FROM_SENDING
     expiresAt[d] = time + GRANT
#else
     expiresAt[d] = sentAt[q(d, s)] + GRANT
#endif
  :: else -> skip
  fi
}

/* handleDividerGrantRequest: what a node gets ends with the divider's own grant. */
inline giveToNode() {
  select (d : 0 .. DIVIDERS - 1);
  k = of(d, process[d]);
  if
  :: divides(d) ->
#ifdef DROP_END
     useUntil[k] = time + GRANT;
#else
     useUntil[k] = (expiresAt[d] > time -> expiresAt[d] : time + 1);
#endif
     countsUntil[k] = useUntil[k]
  :: else -> skip
  fi
}

/* returnSlice: a node hands back what it got, and uses it no longer. */
inline takeBack() {
  select (d : 0 .. DIVIDERS - 1);
  k = of(d, process[d]);
  countsUntil[k] = 0;
#ifndef DROP_STOP_ON_RETURN
  useUntil[k] = 0
#endif
}

/* What has lapsed makes no difference any more: one value stands for all. */
inline forgetLapsed() {
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
  k = 0;
  do
  :: k < 4 ->
     if
     :: usedUntil[k] <= time -> usedUntil[k] = 0
     :: else -> skip
     fi;
     if
     :: useUntil[k] <= time -> useUntil[k] = 0
     :: else -> skip
     fi;
     if
     :: countsUntil[k] <= time -> countsUntil[k] = 0
     :: else -> skip
     fi;
     k++
  :: else -> break
  od
}

inline tick() {
  if
  :: time < LAST_TIME -> time++; forgetLapsed()
  :: else -> skip
  fi
}

#define isWithinLimit (usesBelow(0) + usesBelow(1) + usesBelow(2) <= 1)

init {
  do
  :: atomic { skip; restart(); reset() }
  :: atomic { askHolder(); reset() }
  :: atomic { giveToDivider(); reset() }
  :: atomic { takeOfHolder(); reset() }
  :: atomic { giveToNode(); assert(isWithinLimit); reset() }
  :: atomic { takeBack(); reset() }
  :: atomic { skip; tick(); reset() }
  od
}
