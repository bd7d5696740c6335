/*
 * The lease of a row's limits: two candidates, three keepers that vote. See spec/README.md for the
 * functions of the core that carry each rule. One process takes all steps; a message that was sent may
 * be taken at any later time, any number of times, or never; a step may be late by any time, which is
 * what a pause is. Candidates ask when they like: views are anything.
 *
 * Never do two candidates hold the lease at the same time, and one that is told that it is the first
 * to hold it is. All clocks run at one rate here; the core lengthens what it waits for by
 * CLOCK_RATE_MARGIN.
 *
 * A rule is dropped by defining its name, e.g. spin -DDROP_MAJORITY; the model must fail then.
 */

#define KEEPERS 3
#define HOLDERS 2
#define LAST_TIME 6
#define LEASE 2     /* LEASE_MS */
#define FRAIL 1     /* the keeper that restarts */
#define NONE 255

#ifdef DROP_MAJORITY
#define MAJORITY 1
#else
#define MAJORITY 2
#endif

byte time = 0;

byte voteFor[KEEPERS];          /* holder plus 1; 0 for none */
byte voteUntil[KEEPERS];
bool onlyOne[KEEPERS];          /* this process has voted for one candidate only */
bool restarted;                 /* the frail keeper's process is not the one its roster names */
byte abstainUntil;

byte leaseUntil[HOLDERS];
byte askedAt[HOLDERS];          /* NONE: no votes asked for */
byte votes[HOLDERS];
bool allFirst[HOLDERS];
bool releasing[HOLDERS];
bool everHeld[HOLDERS];

byte h, k;

#define bit(k) (1 << (k))
#define count(v) (((v) & 1) + (((v) >> 1) & 1) + (((v) >> 2) & 1))
#define holdsLease(h) (time < leaseUntil[h])

#ifdef DROP_EXCLUSIVE_VOTE
#define isFree(k, h) true
#else
#define isFree(k, h) (voteFor[k] == 0 || voteFor[k] == h + 1 || time >= voteUntil[k])
#endif

#ifdef DROP_ABSTENTION
#define mayVote(k) true
#else
#define mayVote(k) (k != FRAIL || !restarted || time >= abstainUntil)
#endif

#ifdef DROP_NAMED_PROCESS
#define knowsAll(k) true
#else
#define knowsAll(k) (k != FRAIL || !restarted)
#endif

inline reset() { h = 0; k = 0 }

/* What has lapsed makes no difference any more: one value stands for all. */
inline forgetLapsed() {
  h = 0;
  do
  :: h < HOLDERS ->
     if
     :: leaseUntil[h] <= time -> leaseUntil[h] = 0
     :: else -> skip
     fi;
#ifndef DROP_LEASE_FROM_ASKING
     if
     :: askedAt[h] != NONE && askedAt[h] + LEASE <= time ->
        askedAt[h] = NONE; votes[h] = 0; allFirst[h] = false
     :: else -> skip
     fi;
#endif
     h++
  :: else -> break
  od;
  k = 0;
  do
  :: k < KEEPERS ->
     if
     :: voteUntil[k] <= time -> voteUntil[k] = 0
     :: else -> skip
     fi;
     k++
  :: else -> break
  od
}

/* requestLease */
inline askVotes() {
  select (h : 0 .. HOLDERS - 1);
  askedAt[h] = time;
  votes[h] = 0;
  allFirst[h] = true;
  releasing[h] = false
}

/* handleLeaseRequest: a vote counts for the round in which it was asked for. */
inline castVote() {
  select (h : 0 .. HOLDERS - 1);
  select (k : 0 .. KEEPERS - 1);
  if
  :: askedAt[h] != NONE && mayVote(k) && isFree(k, h) ->
     onlyOne[k] = onlyOne[k] && (voteFor[k] == 0 || voteFor[k] == h + 1);
     voteFor[k] = h + 1;
#ifdef DROP_VOTE_LENGTH
     voteUntil[k] = time + 1;
#else
     voteUntil[k] = time + LEASE;
#endif
     votes[h] = votes[h] | bit(k);
     allFirst[h] = allFirst[h] && onlyOne[k] && knowsAll(k)
  :: else -> skip
  fi
}

/* handleLeaseVote, startTenure: with a majority the lease runs from when the votes were asked for. */
inline takeLease() {
  select (h : 0 .. HOLDERS - 1);
  if
#ifdef DROP_LEASE_FROM_ASKING
  :: askedAt[h] != NONE && count(votes[h]) >= MAJORITY ->
     leaseUntil[h] = time + LEASE;
#else
  :: askedAt[h] != NONE && count(votes[h]) >= MAJORITY && time < askedAt[h] + LEASE ->
     leaseUntil[h] = askedAt[h] + LEASE;
#endif
     assert(!allFirst[h] || !everHeld[1 - h]);
     everHeld[h] = true;
     askedAt[h] = NONE;
     votes[h] = 0;
     allFirst[h] = false
  :: else -> skip
  fi
}

/* releaseLease */
inline giveUpLease() {
  select (h : 0 .. HOLDERS - 1);
  if
  :: holdsLease(h) ->
#ifndef DROP_STOP_ON_RELEASE
     leaseUntil[h] = 0;
#endif
     askedAt[h] = NONE;
     votes[h] = 0;
     allFirst[h] = false;
     releasing[h] = true
  :: else -> skip
  fi
}

/* releaseVote: a release older than the newest request of its candidate is not taken. */
inline takeRelease() {
  select (h : 0 .. HOLDERS - 1);
  select (k : 0 .. KEEPERS - 1);
  if
  :: releasing[h] && voteFor[k] == h + 1 -> voteUntil[k] = 0
  :: else -> skip
  fi
}

/* A keeper's process dies and another starts under its name. */
inline restartKeeper() {
  if
  :: !restarted ->
     restarted = true;
     voteFor[FRAIL] = 0;
     voteUntil[FRAIL] = 0;
     onlyOne[FRAIL] = true;
     abstainUntil = time + LEASE
  :: else -> skip
  fi
}

inline tick() {
  if
  :: time < LAST_TIME -> time++; forgetLapsed()
  :: else -> skip
  fi
}

init {
  atomic {
    askedAt[0] = NONE;
    askedAt[1] = NONE;
    do
    :: k < KEEPERS -> onlyOne[k] = true; k++
    :: else -> break
    od;
    reset()
  }
  do
  :: atomic { askVotes(); reset() }
  :: atomic { castVote(); reset() }
  :: atomic { takeLease(); assert(!(holdsLease(0) && holdsLease(1))); reset() }
  :: atomic { giveUpLease(); reset() }
  :: atomic { takeRelease(); reset() }
  :: atomic { skip; restartKeeper(); reset() }
  :: atomic { skip; tick(); reset() }
  od
}
