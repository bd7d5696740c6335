/*
 * At most once: claims of one idempotency key. See spec/README.md for the functions of the core that
 * carry each rule. One process takes all steps, so that every interleaving of them is explored;
 * a message that was sent may be taken at any later time, any number of times, or never. A grant
 * counts as soon as its keeper gives it: a coordinator may wait before its next step as long as it
 * likes, so that this leaves out no behaviour. One keeper restarts; with three keepers, of which two
 * decide, any two pairs share one, so that one that forgets is enough to break what can break.
 *
 * A rule is dropped by defining its name, e.g. spin -DDROP_MAJORITY; the model must fail then.
 */

#define KEEPERS 3
#define REQUESTS 3
#ifndef LAST_TIME
#define LAST_TIME 1
#endif
#define LEAD 1      /* KEY_LEAD_MS: how far a key may lie ahead of a keeper's clock */
#define MARGIN 1    /* CLOCK_MARGIN_MS: how far clocks of two processes may differ */
#define FRAIL 1     /* the keeper that restarts */

#ifdef DROP_MAJORITY
#define MAJORITY 1
#else
#define MAJORITY 2
#endif

#define IDLE 0
#define ASKING 1
#define CLAIMED 2
#define SENT 3      /* an attempt has left, and may run at any later time */
#define ENDED 4

byte time = 0;
byte stamp;                    /* time in the key, by the caller's clock: anything */

byte holder[KEEPERS];          /* request that has the claim, plus 1; 0 for none */
bool closed[KEEPERS];          /* the keeper has forgotten the period of the key */
bool restarted;                /* the frail keeper is a later process than its roster names */
byte skew;                     /* its clock less real time, 0 to MARGIN */
byte started;                  /* by its own clock */

byte phase[REQUESTS];
byte votes[REQUESTS];          /* a bit for each keeper that has granted the claim */
bool released[REQUESTS];       /* a release is on its way */
bool ran[REQUESTS];
bool anyRan;

byte r, k;

#define bit(k) (1 << (k))
#define count(v) (((v) & 1) + (((v) >> 1) & 1) + (((v) >> 2) & 1))
#define clock(k) ((k == FRAIL) -> (time + skew) : time)

#ifdef DROP_VOUCH
#define canVouch(k) true
#else
#ifdef DROP_MARGIN
#define canVouch(k) (k != FRAIL || !restarted || stamp > started + LEAD)
#else
#define canVouch(k) (k != FRAIL || !restarted || stamp > started + LEAD + MARGIN)
#endif
#endif

#ifdef DROP_LEAD
#define isTimely(k) true
#else
#define isTimely(k) (stamp <= clock(k) + LEAD)
#endif

#ifdef DROP_CLOSED
#define mayKeep(k) (canVouch(k) && isTimely(k))
#else
#define mayKeep(k) (!closed[k] && canVouch(k) && isTimely(k))
#endif

/* The keepers of the key are the same for each request, whatever its coordinator's view. */
#ifdef DROP_ROSTER
#define isKeeper(r, k) (r != 0 || k != 2)
#define needed(r) ((r == 0) -> 1 : MAJORITY)
#else
#define isKeeper(r, k) true
#define needed(r) MAJORITY
#endif

inline pickRequest() { select (r : 0 .. REQUESTS - 1) }
inline pickKeeper() { select (k : 0 .. KEEPERS - 1) }

/* requestClaim: a caller sends the key, through any node. */
inline ask() {
  pickRequest();
  if
  :: phase[r] == IDLE -> phase[r] = ASKING
  :: else -> skip
  fi
}

/* handleClaimReply: with a majority the coordinator has the claim, if it still asks. */
inline takeVote() {
  if
  :: phase[r] == ASKING ->
     votes[r] = votes[r] | bit(k);
     if
     :: count(votes[r]) >= needed(r) -> phase[r] = CLAIMED
     :: else -> skip
     fi
  :: else -> skip
  fi
}

/* keepClaim: a keeper takes a claim request that was ever sent. */
inline keep() {
  pickRequest();
  pickKeeper();
  if
  :: phase[r] != IDLE && isKeeper(r, k) ->
     if
#ifdef DROP_MEMORY
     :: mayKeep(k) -> takeVote()
#else
     :: holder[k] == r + 1 -> takeVote()
     :: holder[k] == 0 && mayKeep(k) -> holder[k] = r + 1; takeVote()
#endif
     :: else -> skip
     fi
  :: else -> skip
  fi
}

/* The coordinator sends its one attempt, at any time after the claim, also much later. */
inline sendAttempt() {
  pickRequest();
  if
  :: phase[r] == CLAIMED -> phase[r] = SENT
  :: else -> skip
  fi
}

/* The attempt reaches a replica, at any time after it was sent. */
inline reachReplica() {
  pickRequest();
  if
#ifdef DROP_ONE_ATTEMPT
  :: phase[r] == SENT ->
#else
  :: phase[r] == SENT && !ran[r] ->
#endif
     assert(!anyRan);
     ran[r] = true;
     anyRan = true
  :: else -> skip
  fi
}

/* refuseClaim, endClaim: the request gives up; nothing of it has run or can run any more. */
inline release() {
  pickRequest();
  if
  :: phase[r] == ASKING || phase[r] == CLAIMED -> phase[r] = ENDED; released[r] = true
#ifdef DROP_PROOF
  :: phase[r] == SENT -> released[r] = true
#endif
  :: else -> skip
  fi
}

/* releaseKeptClaim: only the claim of that very request is freed. */
inline takeRelease() {
  pickRequest();
  pickKeeper();
  if
#ifdef DROP_OWN_RELEASE
  :: released[r] -> holder[k] = 0
#else
  :: released[r] && holder[k] == r + 1 -> holder[k] = 0
#endif
  :: else -> skip
  fi
}

/* The keeper's process dies and another starts under its name, knowing nothing. */
inline restart() {
  if
  :: !restarted ->
     holder[FRAIL] = 0;
     closed[FRAIL] = false;
     restarted = true;
     select (r : 0 .. MARGIN);
     skew = r;
     started = time + skew
  :: else -> skip
  fi
}

/* removeExpiredClaims: the period is closed for good, and its claims are forgotten. */
inline forget() {
  pickKeeper();
  holder[k] = 0;
  closed[k] = true
}

inline tick() {
  if
  :: time < LAST_TIME -> time++
  :: else -> skip
  fi
}

init {
  atomic {
    select (r : 0 .. LAST_TIME + LEAD + MARGIN);
    stamp = r;
    select (r : 0 .. MARGIN);
    skew = r;
    r = 0
  }
  do
  :: atomic { ask(); r = 0; k = 0 }
  :: atomic { keep(); r = 0; k = 0 }
  :: atomic { sendAttempt(); r = 0; k = 0 }
  :: atomic { reachReplica(); r = 0; k = 0 }
  :: atomic { release(); r = 0; k = 0 }
  :: atomic { takeRelease(); r = 0; k = 0 }
  :: atomic { skip; restart(); r = 0; k = 0 }
  :: atomic { skip; forget(); r = 0; k = 0 }
  :: atomic { skip; tick(); r = 0; k = 0 }
  od
}
