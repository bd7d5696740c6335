/*
 * The confirmation of API keys: a reader that makes confirming reads of the store, a follower that asks it, and a gateway
 * that asks the follower. One key is removed. See spec/README.md for the functions that carry each rule. One process
 * takes all steps; a message may be taken at any later time or never; a step may be late by any time, which is what a
 * frozen process, a cut link or a lost store is.
 *
 * No gateway admits the key LIMIT or more after the store acknowledged its removal. The wall clock of the
 * first gateway may be set at any time; only a mutation uses it. All other clocks run at one rate here; the gateway shortens the limit by
 * CLOCK_MARGIN_SHARE.
 *
 * A rule is dropped by defining its name, e.g. spin -DDROP_ASKED_TIME; the model must fail then.
 */

#define GATEWAYS 3  /* each asks the one before it; the first one reads the store */
#define SLOTS 2     /* requests under way from the second gateway; the third one has a single one */
#define LAST_TIME 4
#define LIMIT 2     /* confirmationTiming(...).limitMs */
#define NONE 255

byte time = 0;

bool isRemoved;                 /* the store has acknowledged the removal */
byte removedAt;

bool knowsRemoval[GATEWAYS];    /* the configuration in force has no key */
byte confirmedAt[GATEWAYS];     /* NONE: not confirmed */
bool wallAhead[GATEWAYS];       /* the wall clock is ahead by 1 */

/* The confirming read of the first gateway. */
byte readSentAt = NONE;
bool isReadDone;
bool readShows;                 /* the configuration without the key */

/* Requests between gateways. */
byte askedAt[3];                /* NONE: none */
bool isAnswered[3];
byte answerAge[3];
bool answerShows[3];
#define askedBy(s) ((s) / SLOTS + 1)

#define REQUESTS 3

#if defined(DROP_ASKED_TIME) || defined(DROP_OWN_REQUEST)
#define KEEPS_OLD_REQUESTS
#endif

#ifdef DROP_AGE
#define isOld(s) (askedAt[s] + LIMIT <= time)
#else
#define isOld(s) (askedAt[s] + LIMIT <= time + (isAnswered[s] -> answerAge[s] : 0))
#endif

byte g, s, c;

#ifdef DROP_VERSION
#define counts(s, g) true
#else
#define counts(s, g) (answerShows[s] == knowsRemoval[g])
#endif

inline reset() { g = 0; s = 0; c = 0 }

inline endRequest(r) {
  askedAt[r] = NONE;
  isAnswered[r] = false;
  answerAge[r] = 0;
  answerShows[r] = false
}

/* What is too old to confirm anything makes no difference: one value stands for all. */
inline forgetOld() {
  g = 0;
  do
  :: g < GATEWAYS ->
     if
     :: confirmedAt[g] != NONE && confirmedAt[g] + LIMIT <= time -> confirmedAt[g] = NONE
     :: else -> skip
     fi;
     g++
  :: else -> break
  od;
#ifndef DROP_READ_TIME
  if
  :: readSentAt != NONE && readSentAt + LIMIT <= time ->
     readSentAt = NONE;
     isReadDone = false;
     readShows = false
  :: else -> skip
  fi;
#endif
#ifndef KEEPS_OLD_REQUESTS
  s = 0;
  do
  :: s < REQUESTS ->
     if
     :: askedAt[s] != NONE && isOld(s) -> endRequest(s)
     :: else -> skip
     fi;
     s++
  :: else -> break
  od
#endif
}

/* startConfirmingRead */
inline sendRead() {
  readSentAt = time;
  isReadDone = false;
  readShows = false
}

/* The store answers the read. */
inline answerRead() {
  if
  :: readSentAt != NONE && !isReadDone ->
     isReadDone = true;
#ifdef DROP_CURRENT_READ
     if
     :: readShows = isRemoved
     :: readShows = false       /* a stale copy */
     fi
#else
     readShows = isRemoved
#endif
  :: else -> skip
  fi
}

/* handleConfirmationEnded, recordConfirmation */
inline takeRead() {
  if
  :: readSentAt != NONE && isReadDone ->
     if
#ifdef DROP_IN_FORCE
     :: true ->
#else
     :: readShows == knowsRemoval[0] ->
#endif
#ifdef DROP_READ_TIME
        confirmedAt[0] = time
#else
        if
        :: confirmedAt[0] == NONE || readSentAt > confirmedAt[0] -> confirmedAt[0] = readSentAt
        :: else -> skip
        fi
#endif
     :: else -> skip
     fi;
     readSentAt = NONE;
     isReadDone = false;
     readShows = false
  :: else -> skip
  fi
}

/* The configuration without the key comes into force, from the store or the gateway before. */
inline learn() {
  select (g : 0 .. GATEWAYS - 1);
  if
  :: g == 0 -> knowsRemoval[0] = isRemoved
  :: else -> knowsRemoval[g] = knowsRemoval[g] || knowsRemoval[g - 1]
  fi
}

/* askReader */
inline sendRequest() {
  select (s : 0 .. REQUESTS - 1);
  if
  :: askedAt[s] == NONE -> askedAt[s] = time
  :: else -> endRequest(s)      /* lost */
  fi
}

/* handleConfirmationRequest */
inline answerRequest() {
  select (s : 0 .. REQUESTS - 1);
  g = askedBy(s) - 1;
  if
  :: askedAt[s] != NONE && !isAnswered[s] && confirmedAt[g] != NONE ->
     isAnswered[s] = true;
     answerShows[s] = knowsRemoval[g];
#ifdef DROP_AGE
     answerAge[s] = confirmedAt[g] + wallAhead[g]
#else
     answerAge[s] = time - confirmedAt[g]
#endif
  :: else -> skip
  fi
}

/* handleConfirmationAnswer, recordConfirmation */
inline takeAnswer() {
  select (s : 0 .. REQUESTS - 1);
  g = askedBy(s);
  if
  :: askedAt[s] != NONE && isAnswered[s] ->
     c = askedAt[s];
#ifdef DROP_ASKED_TIME
     c = time;
#endif
#ifdef DROP_OWN_REQUEST
     if
     :: g == 1 && askedAt[1 - s] != NONE && askedAt[1 - s] > c -> c = askedAt[1 - s]
     :: else -> skip
     fi;
#endif
     if
#ifdef DROP_AGE
     :: answerAge[s] >= wallAhead[g] -> c = answerAge[s] - wallAhead[g]
#else
     :: answerAge[s] <= c -> c = c - answerAge[s]
#endif
     :: else -> c = NONE
     fi;
     if
     :: c != NONE && (confirmedAt[g] == NONE || c > confirmedAt[g]) && counts(s, g) ->
        confirmedAt[g] = c
     :: else -> skip
     fi;
     endRequest(s)
  :: else -> skip
  fi
}

/* areKeysConfirmed, at a gateway where a request with the key arrives */
inline admit() {
  select (g : 0 .. GATEWAYS - 1);
  if
#ifdef DROP_LIMIT
  :: !knowsRemoval[g] && confirmedAt[g] != NONE ->
#else
  :: !knowsRemoval[g] && confirmedAt[g] != NONE && time < confirmedAt[g] + LIMIT ->
#endif
     assert(!isRemoved || time < removedAt + LIMIT)
  :: else -> skip
  fi
}

init {
  d_step {
    g = 0;
    do
    :: g < GATEWAYS -> confirmedAt[g] = NONE; g++
    :: else -> break
    od;
    s = 0;
    do
    :: s < REQUESTS -> askedAt[s] = NONE; s++
    :: else -> break
    od;
    reset()
  }
  do
  :: atomic { time < LAST_TIME -> time++;
#ifndef DROP_LIMIT
       forgetOld();
#endif
       reset() }
  :: atomic { !isRemoved -> isRemoved = true; removedAt = time }
  :: atomic { readSentAt == NONE -> sendRead() }
  :: atomic { readSentAt != NONE && !isReadDone -> answerRead() }
  :: atomic { isReadDone -> takeRead() }
  :: atomic { learn(); reset() }
  :: atomic { sendRequest(); reset() }
  :: atomic { answerRequest(); reset() }
  :: atomic { takeAnswer(); reset() }
  :: atomic { admit(); reset() }
#ifdef DROP_AGE
  :: atomic { wallAhead[0] = !wallAhead[0] }
#endif
  od
}
