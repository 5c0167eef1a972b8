/*
 * Ownership of one program with one non-repeatable call: ballots, promises,
 * the claim, takeover, and ledgers that lose their disks.
 *
 * Two owners race over three ledgers. An owner may give up or freeze at any
 * step (every interleaving is explored; what a frozen owner does next is what
 * a delayed message would do) and comes back under a higher ballot without any
 * memory. A ledger handles one message at a time and answers from its disk. A
 * disk is wiped only while the other two remember the program.
 *
 * Bounds: ROUNDS ballots for each owner, WIPES lost disks.
 *
 * Asserted: the call is sent at most once.
 *
 * Broken variants, on which the assertion must fail:
 *   -DNO_FENCE            a ledger accepts writes below its promise
 *   -DCOUNT_FORGETFUL     a wiped ledger counts at once
 *   -DREBUILD_OLD_BALLOT  a wiped ledger counts once it was rewritten, also
 *                         under a ballot that was chosen before the wipe
 *   -DNO_CONFIRM          the owner leads without asking whether the promises
 *                         of its majority stand at the same time; a wiped
 *                         ledger may have forgotten the first one when the
 *                         second one is made
 *   -DSEND_BEFORE_COMMIT  the owner sends after the first write
 */

#ifndef ROUNDS
#define ROUNDS 1
#endif
#ifndef WIPES
#define WIPES 2
#endif

#define LEDGERS 3
#define MAJORITY 2

byte promised[LEDGERS];   /* highest ballot promised */
byte accepted[LEDGERS];   /* ballot of the last entry; 0: the creation only */
bool claimed[LEDGERS];    /* the log has the claim */
bool forgetful[LEDGERS];  /* wiped, and not rewritten since */
byte generation[LEDGERS]; /* of the disk */

byte sent;  /* times that the call was sent */
byte wipes; /* disks lost so far */

/* Asks ledger l for its promise. */
inline ask(l) {
  atomic {
    promises < MAJORITY && !asked[l];
    asked[l] = true;
    if
    :: ballot > promised[l] ->
       promised[l] = ballot;
       if
       :: accepted[l] >= best ->
          best = accepted[l];
          bestClaimed = claimed[l]
       :: else
       fi;
#ifdef COUNT_FORGETFUL
       promises++;
       seen[l] = generation[l] + 1
#else
       if
       :: !forgetful[l] ->
          promises++;
          seen[l] = generation[l] + 1
       :: else
       fi
#endif
    :: else
    fi
  }
}

/* Asks ledger l whether its promise still stands. */
inline confirm(l) {
  atomic {
    seen[l] > 0;
    if
    :: promised[l] == ballot && generation[l] + 1 == seen[l] -> confirmed++
    :: else
    fi;
    seen[l] = 0
  }
}

/* Writes the log with the claim to ledger l. */
inline write(l) {
  atomic {
    (!written[l]);
    written[l] = true;
    if
#ifdef NO_FENCE
    :: true ->
#else
    :: ballot >= promised[l] ->
#endif
       promised[l] = ballot;
       accepted[l] = ballot;
       claimed[l] = true;
#ifdef REBUILD_OLD_BALLOT
       known[l] = generation[l];
#endif
       if
       :: known[l] == generation[l] -> forgetful[l] = false
       :: else
       fi;
#ifdef COUNT_FORGETFUL
       acks++
#else
       if
       :: !forgetful[l] -> acks++
       :: else
       fi
#endif
    :: else
    fi
  }
}

inline reset() {
  d_step {
    best = 0;
    bestClaimed = false;
    promises = 0;
    acks = 0;
    confirmed = 0;
    seen[0] = 0;
    seen[1] = 0;
    seen[2] = 0;
    asked[0] = false;
    asked[1] = false;
    asked[2] = false;
    written[0] = false;
    written[1] = false;
    written[2] = false;
    known[0] = 0;
    known[1] = 0;
    known[2] = 0;
    ballot = 0
  }
}

/* Forgets what only the opening needs, to keep the states few. */
inline opened() {
  d_step {
    best = 0;
    promises = 0;
    confirmed = 0;
    asked[0] = false;
    asked[1] = false;
    asked[2] = false;
    seen[0] = 0;
    seen[1] = 0;
    seen[2] = 0
  }
}

proctype Owner(byte id) {
  byte round = 0;
  byte ballot;
  byte best;
  bool bestClaimed;
  byte promises;
  byte confirmed;
  byte seen[LEDGERS]; /* generation that promised, plus one; 0: none */
  byte acks;
  bool asked[LEDGERS];
  bool written[LEDGERS];
  byte known[LEDGERS]; /* generations known when the ballot was chosen */

next:
  reset();
  if
  :: round == ROUNDS -> goto done
  :: d_step {
       round < ROUNDS ->
       round++;
       ballot = 2 * round + id;
       known[0] = generation[0];
       known[1] = generation[1];
       known[2] = generation[2]
     }
  fi;

  do
  :: ask(0)
  :: ask(1)
  :: ask(2)
  :: promises >= MAJORITY -> break
  :: true -> goto next
  od;

#ifndef NO_CONFIRM
  do
  :: confirm(0)
  :: confirm(1)
  :: confirm(2)
  :: confirmed >= MAJORITY -> break
  :: true -> goto next
  od;
#endif

  opened();

  /* A claim without a result: the outcome is unknown, nothing is sent. */
  if
  :: bestClaimed -> goto next
  :: else
  fi;

  do
  :: write(0)
  :: write(1)
  :: write(2)
#ifdef SEND_BEFORE_COMMIT
  :: acks >= 1 -> break
#else
  :: acks >= MAJORITY -> break
#endif
  :: true -> goto next
  od;

  sent++;
  assert(sent <= 1);
  goto next;

done:
  skip
}

inline wipe(l, other1, other2) {
  atomic {
    wipes < WIPES && !forgetful[other1] && !forgetful[other2];
    wipes++;
    promised[l] = 0;
    accepted[l] = 0;
    claimed[l] = false;
    forgetful[l] = true;
    generation[l]++
  }
}

proctype Disks() {
  do
  :: wipe(0, 1, 2)
  :: wipe(1, 0, 2)
  :: wipe(2, 0, 1)
  :: true -> break
  od
}

init {
  atomic {
    run Owner(0);
    run Owner(1);
    run Disks()
  }
}
