/* The control log's elections, commits and lost disks, checked exhaustively.
 *
 * Three voters. Messages are sets that only grow, so any message may be lost,
 * late, doubled or reordered. A change whose only trace is an acknowledgement
 * that waits for the sync is one step with this sync, as a crash in between
 * leaves nothing of it. A leader's new entries leave before their sync, so
 * they are volatile until a step of their own. The log holds the terms of its
 * entries; an entry is known by its index and term. LogVoter.h has the
 * argument that is checked here.
 *
 * Checked: one leader a term; a committed entry is never replaced; each new
 * leader holds every entry that an earlier term committed.
 *
 * Bounds: TERMS terms, LENGTH entries, CRASHES crashes, WIPES lost disks.
 * Broken variants: ACK_BEFORE_SYNC, VOTE_AFTER_WIPE, ADMIT_UNCOMMITTED.
 *
 * The rule that a leader counts copies of entries of its own term only needs
 * four terms to be seen missing, which these bounds don't reach.
 */
#ifndef TERMS
#define TERMS 3
#endif
#ifndef LENGTH
#define LENGTH 2
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#ifndef WIPES
#define WIPES 0
#endif

#define VOTERS 3
#define NOBODY 3
#define BIT(n) (1 << (n))
#define MAJORITY(m) ((m) == 3 || (m) == 5 || (m) == 6 || (m) == 7)
#define AT(n, i) ((n) * LENGTH + (i) - 1)       /* entry i of voter n's log */
#define OF(t, i) (((t) - 1) * LENGTH + (i) - 1) /* entry i of term t's leader */
#define BY(t, c) (((t) - 1) * VOTERS + (c))     /* candidate c in term t */

/* Volatile, and what lasts of it. */
byte term[VOTERS], vote[VOTERS], last[VOTERS], log[VOTERS * LENGTH];
bit admitted[VOTERS];
byte sTerm[VOTERS], sVote[VOTERS], sLen[VOTERS], sLog[VOTERS * LENGTH];
bit sAdmitted[VOTERS];
bit candidate[VOTERS], leader[VOTERS];
byte match[VOTERS]; /* Agrees with the leader of its term up to here. */

/* Messages that were sent. */
bit asked[TERMS * VOTERS];
byte askedLen[TERMS * VOTERS], askedTerm[TERMS * VOTERS];
byte granted[TERMS * VOTERS];                   /* Sets of voters. */
byte sent[TERMS * LENGTH], sentLen[TERMS];      /* The leader's log. */
byte acked[TERMS * LENGTH];                     /* Sets of voters. */
byte admission[TERMS], admissionOf[TERMS];      /* Index of the entry, whom. */
byte commitOf[TERMS];                           /* Told by the leader. */

/* For the checks. */
byte leaderOf[TERMS];
byte committed[LENGTH], committedIn[LENGTH]; /* Terms: of entry, leader. */
byte crashes, wipes;

#define LAST_TERM(n) (last[n] == 0 -> 0 : log[AT(n, last[n])])

inline sendAll(n, t) {
  /* Everything that the state of voter n allows it to acknowledge. */
  if
  :: t > 0 && admitted[n] && vote[n] == n && candidate[n] ->
       asked[BY(t, n)] = 1;
       askedLen[BY(t, n)] = last[n];
       askedTerm[BY(t, n)] = LAST_TERM(n);
  :: else
  fi;
  if
  :: t > 0 && admitted[n] && vote[n] != NOBODY ->
       granted[BY(t, vote[n])] = granted[BY(t, vote[n])] | BIT(n)
  :: else
  fi;
  k = 1;
  do
  :: k <= LENGTH ->
       if
       :: t > 0 && admitted[n] && k <= match[n] ->
            acked[OF(t, k)] = acked[OF(t, k)] | BIT(n)
       :: else
       fi;
       k++
  :: else -> break
  od;
  k = 0
}

inline adopt(n, t) {
  if
  :: t > term[n] ->
       term[n] = t; vote[n] = NOBODY;
       candidate[n] = 0; leader[n] = 0; match[n] = 0
  :: else
  fi
}

#define UNSYNCED(n) (term[n] != sTerm[n] || vote[n] != sVote[n] || \
  last[n] != sLen[n] || admitted[n] != sAdmitted[n] || dirty[n])
bit dirty[VOTERS]; /* The log or the match has changed since the last sync. */

inline sync(n) {
  sTerm[n] = term[n]; sVote[n] = vote[n]; sLen[n] = last[n];
  sAdmitted[n] = admitted[n]; dirty[n] = 0;
  k = 1;
  do
  :: k <= LENGTH -> sLog[AT(n, k)] = log[AT(n, k)]; k++
  :: else -> break
  od;
  sendAll(n, term[n])
}

#ifdef ACK_BEFORE_SYNC
#define CHANGED(n) sendAll(n, term[n])
#else
#define CHANGED(n) sync(n)
#endif

inline crash(n) {
  crashes++;
  term[n] = sTerm[n]; vote[n] = sVote[n]; last[n] = sLen[n];
  admitted[n] = sAdmitted[n]; dirty[n] = 0;
  candidate[n] = 0; leader[n] = 0; match[n] = 0;
  k = 1;
  do
  :: k <= LENGTH -> log[AT(n, k)] = sLog[AT(n, k)]; k++
  :: else -> break
  od;
  k = 0
}

inline wipe(n) {
  wipes++;
  term[n] = 0; vote[n] = NOBODY; last[n] = 0;
  sTerm[n] = 0; sVote[n] = NOBODY; sLen[n] = 0;
  candidate[n] = 0; leader[n] = 0; match[n] = 0; dirty[n] = 0;
  k = 1;
  do
  :: k <= LENGTH -> log[AT(n, k)] = 0; sLog[AT(n, k)] = 0; k++
  :: else -> break
  od;
  k = 0;
#ifndef VOTE_AFTER_WIPE
  admitted[n] = 0; sAdmitted[n] = 0;
#endif
}

inline campaign(n) {
  term[n]++; vote[n] = n;
  candidate[n] = 1; leader[n] = 0; match[n] = 0;
  CHANGED(n)
}

#define MAY_GRANT(n, c, t) (asked[BY(t, c)] && admitted[n] && \
  (t > term[n] || (t == term[n] && vote[n] == NOBODY)) && \
  (askedTerm[BY(t, c)] > LAST_TERM(n) || \
   (askedTerm[BY(t, c)] == LAST_TERM(n) && askedLen[BY(t, c)] >= last[n])))

inline grant(n, c, t) {
  adopt(n, t);
  vote[n] = c;
  CHANGED(n)
}

inline win(n) {
  candidate[n] = 0; leader[n] = 1;
  assert(leaderOf[term[n] - 1] == NOBODY); /* One leader a term. */
  leaderOf[term[n] - 1] = n;
  match[n] = last[n]; sentLen[term[n] - 1] = last[n]; dirty[n] = 1;
  k = 1;
  do
  :: k <= LENGTH ->
       /* An old election may still be won late, by one who can't commit. */
       assert(committed[k - 1] == 0 || committedIn[k - 1] >= term[n] ||
              (k <= last[n] && log[AT(n, k)] == committed[k - 1]));
       if
       :: k <= last[n] -> sent[OF(term[n], k)] = log[AT(n, k)]
       :: else
       fi;
       k++
  :: else -> break
  od;
  k = 0
}

inline propose(n) {
  last[n]++;
  log[AT(n, last[n])] = term[n];
  match[n] = last[n]; dirty[n] = 1;
  sent[OF(term[n], last[n])] = term[n];
  sentLen[term[n] - 1] = last[n]
}

inline proposeAdmission(n, w) {
  propose(n);
  admission[term[n] - 1] = last[n];
  admissionOf[term[n] - 1] = w
}

/* The first i entries of term t's leader reach voter n. */
inline receive(n, t, i) {
  adopt(n, t);
  candidate[n] = 0;
  k = 1;
  do
  :: k <= i ->
       if
       :: k <= last[n] && log[AT(n, k)] == sent[OF(t, k)]
       :: else ->
            /* All behind a differing entry goes. */
            if
            :: k <= last[n] ->
                 j = k;
                 do
                 :: j <= last[n] -> log[AT(n, j)] = 0; j++
                 :: else -> break
                 od;
                 j = 0
            :: else
            fi;
            log[AT(n, k)] = sent[OF(t, k)];
            last[n] = k
       fi;
       k++
  :: else -> break
  od;
  k = 0;
  match[n] = i; dirty[n] = 1;
  CHANGED(n)
}

#define OWN_TERM(t, i) (sent[OF(t, i)] == t)

inline commit(n, i) {
  commitOf[term[n] - 1] = i;
  k = 1;
  do
  :: k <= i ->
       assert(committed[k - 1] == 0 ||
              committed[k - 1] == sent[OF(term[n], k)]);
       if
       :: committed[k - 1] == 0 -> committedIn[k - 1] = term[n]
       :: else
       fi;
       committed[k - 1] = sent[OF(term[n], k)];
       k++
  :: else -> break
  od;
  k = 0
}

#ifdef ADMIT_UNCOMMITTED
#define ADMISSION_HOLDS(t) true
#else
#define ADMISSION_HOLDS(t) (commitOf[t - 1] >= admission[t - 1])
#endif

#define MAY_ADMIT(w, t) (!admitted[w] && term[w] == t && \
  admission[t - 1] > 0 && admissionOf[t - 1] == w && ADMISSION_HOLDS(t) && \
  match[w] >= admission[t - 1])

#define GRANTS(n, c, t) \
  :: d_step { MAY_GRANT(n, c, t) -> grant(n, c, t) }
#define RECEIVES(n, t, i) \
  :: d_step { t >= term[n] && leaderOf[t - 1] != NOBODY && \
       leaderOf[t - 1] != n && sentLen[t - 1] >= i && \
       (t > term[n] || match[n] < i) -> receive(n, t, i) }
#define COMMITS(n, i) \
  :: d_step { leader[n] && last[n] >= i && commitOf[term[n] - 1] < i && \
       MAJORITY(acked[OF(term[n], i)]) && OWN_TERM(term[n], i) -> commit(n, i) }
#define PROPOSES_ADMISSION(n, w) \
  :: d_step { leader[n] && last[n] < LENGTH && !admitted[w] && \
       admission[term[n] - 1] == 0 -> proposeAdmission(n, w) }
#define ADMITS(w, t) \
  :: d_step { MAY_ADMIT(w, t) -> \
       vote[w] = leaderOf[t - 1]; admitted[w] = 1; dirty[w] = 1; CHANGED(w) }

#if LENGTH == 1
#define EACH_INDEX(F, a) F(a, 1)
#define RECEIVES_OF(n, t) RECEIVES(n, t, 1)
#else
#define EACH_INDEX(F, a) F(a, 1) F(a, 2)
#define RECEIVES_OF(n, t) RECEIVES(n, t, 1) RECEIVES(n, t, 2)
#endif

#if TERMS == 2
#define EACH_TERM(F, n) F(n, 1) F(n, 2)
#define GRANTS_TO(n, c) GRANTS(n, c, 1) GRANTS(n, c, 2)
#else
#define EACH_TERM(F, n) F(n, 1) F(n, 2) F(n, 3)
#define GRANTS_TO(n, c) GRANTS(n, c, 1) GRANTS(n, c, 2) GRANTS(n, c, 3)
#endif

#define STEPS(n, a, b) \
  :: d_step { UNSYNCED(n) -> sync(n) } \
  :: d_step { crashes < CRASHES && (UNSYNCED(n) || leader[n] || candidate[n]) \
       -> crash(n) } \
  :: d_step { wipes < WIPES && admitted[a] && admitted[b] && \
       sAdmitted[a] && sAdmitted[b] && term[n] > 0 -> wipe(n) } \
  :: d_step { admitted[n] && !leader[n] && term[n] < TERMS -> campaign(n) } \
  :: d_step { candidate[n] && MAJORITY(granted[BY(term[n], n)]) -> win(n) } \
  :: d_step { leader[n] && last[n] < LENGTH -> propose(n) } \
  GRANTS_TO(n, a) GRANTS_TO(n, b) \
  EACH_TERM(RECEIVES_OF, n) \
  EACH_INDEX(COMMITS, n) \
  PROPOSES_ADMISSION(n, a) PROPOSES_ADMISSION(n, b) \
  EACH_TERM(ADMITS, n)

active proctype voters() {
  byte k, j;
  d_step {
    k = 0;
    do
    :: k < VOTERS ->
         vote[k] = NOBODY; sVote[k] = NOBODY;
         admitted[k] = 1; sAdmitted[k] = 1;
         k++
    :: else -> break
    od;
    k = 0;
    do
    :: k < TERMS -> leaderOf[k] = NOBODY; k++
    :: else -> break
    od;
    k = 0
  }
end:
  do
  STEPS(0, 1, 2)
  STEPS(1, 0, 2)
  STEPS(2, 0, 1)
  od
}
