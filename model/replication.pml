/*
 * Replication of the controllers' log with lost disks and membership change (src/consensus).
 *
 * An identity is a disk. An instance that lost its disk comes back under the next unused identity, without entries.
 * Messages are steps that read and change two identities at once; a lost message is a step that does not happen.
 * Each entry carries the voters in force after it, as a bit mask.
 *
 * Checked: a new leader holds every committed entry, and a committed entry is never replaced.
 *
 * Switches that each remove a guard, so that a counterexample must exist:
 *   SAME_IDENTITY       a lost disk comes back blank under its old identity
 *   COUNT_LEARNER_VOTES votes of learners count in an election
 *   COUNT_LEARNER_ACKS  entries synced by learners count towards a commit
 *   COMMIT_OLD_TERMS    entries of earlier terms are committed by counting
 */
#ifndef MAXTERM
#define MAXTERM 4
#endif
#ifndef MAXLEN
#define MAXLEN 4
#endif
#ifndef LOSSES
#define LOSSES 1
#endif
#define INSTANCES 3
#define IDENTITIES (INSTANCES + LOSSES)

typedef Log {
  byte length;
  byte entryTerm[MAXLEN];
  byte voters[MAXLEN];
}

typedef Matches {
  byte upTo[IDENTITIES];
}

Log log[IDENTITIES];
byte term[IDENTITIES];
bool leads[IDENTITIES];
bool lost[IDENTITIES];
Matches match[IDENTITIES];
byte current[INSTANCES];    /* identity of each instance */
byte instanceOf[IDENTITIES];
byte losses = 0;
byte committedTerm[MAXLEN]; /* what has been committed at each index; zero: nothing */
byte committedLength = 0;

/* Scratch variables; reset after use, so that they add no states. */
hidden byte i, j, n, voters, all, kept, ok;

#define LAST(x) (log[x].length - 1)
#define VOTERS(x) log[x].voters[LAST(x)]
#define IN(mask, x) ((mask >> (x)) & 1)
#define UP_TO_DATE(x, y) \
  (log[y].length == 0 || log[x].entryTerm[LAST(x)] > log[y].entryTerm[LAST(y)] || \
   (log[x].entryTerm[LAST(x)] == log[y].entryTerm[LAST(y)] && log[x].length >= log[y].length))
#define IS_MAJORITY(count, total) ((count) * 2 > (total))

inline countVoters(mask) {
  all = 0;
  for (j : 0 .. IDENTITIES - 1) {
    all = all + IN(mask, j);
  }
}

/* x asks all for votes; which answers arrive is open. */
inline elect(x) {
  term[x] = term[x] + 1;
  leads[x] = false;
  voters = VOTERS(x);
  countVoters(voters);
  n = 1;
  i = 0;
  do
  :: i < IDENTITIES ->
     if
     :: i != x && !lost[i] && term[i] < term[x] && UP_TO_DATE(x, i) ->
        term[i] = term[x];
        leads[i] = false;
#ifdef COUNT_LEARNER_VOTES
        n++;
#else
        n = n + IN(voters, i);
#endif
     :: true -> skip
     fi;
     i++
  :: else -> break
  od;
  if
  :: IS_MAJORITY(n, all) ->
     leads[x] = true;
     for (i : 0 .. IDENTITIES - 1) {
       match[x].upTo[i] = 0;
     }
     for (i : 0 .. MAXLEN - 1) {
       assert(committedTerm[i] == 0 || (i < log[x].length && log[x].entryTerm[i] == committedTerm[i]));
     }
  :: else -> skip
  fi;
  i = 0; j = 0; n = 0; voters = 0; all = 0;
}

inline append(x, mask) {
  log[x].voters[log[x].length] = mask;
  log[x].entryTerm[log[x].length] = term[x];
  log[x].length++;
}

/* x brings the log of y in line with its own, and y's reply arrives. */
inline replicate(x, y) {
  if
  :: term[y] < term[x] ->
     term[y] = term[x];
     leads[y] = false;
  :: else -> skip
  fi;
  for (i : 0 .. MAXLEN - 1) {
    log[y].entryTerm[i] = log[x].entryTerm[i];
    log[y].voters[i] = log[x].voters[i];
  }
  log[y].length = log[x].length;
  match[x].upTo[y] = log[x].length;
  i = 0;
}

/* x commits its whole log if a majority of voters has it. */
inline commit(x) {
  voters = VOTERS(x);
  countVoters(voters);
  n = 0;
  for (i : 0 .. IDENTITIES - 1) {
    if
#ifdef COUNT_LEARNER_ACKS
    :: i == x || match[x].upTo[i] == log[x].length -> n++;
#else
    :: i == x || match[x].upTo[i] == log[x].length -> n = n + IN(voters, i);
#endif
    :: else -> skip
    fi;
  }
  if
  :: IS_MAJORITY(n, all) ->
     for (i : 0 .. LAST(x)) {
       assert(committedTerm[i] == 0 || committedTerm[i] == log[x].entryTerm[i]);
       committedTerm[i] = log[x].entryTerm[i];
     }
     committedLength = (committedLength > log[x].length -> committedLength : log[x].length);
  :: else -> skip
  fi;
  i = 0; j = 0; n = 0; voters = 0; all = 0;
}

/* ok: each member list that is or may come into force keeps a majority of disks without identity x. */
inline mayLose(x) {
  ok = true;
  for (i : 0 .. IDENTITIES - 1) {
    n = (committedLength > 0 -> committedLength - 1 : 0);
    do
    :: !lost[i] && n < log[i].length ->
       voters = log[i].voters[n];
       countVoters(voters);
       kept = 0;
       for (j : 0 .. IDENTITIES - 1) {
         kept = kept + ((!lost[j] && j != x) -> IN(voters, j) : 0);
       }
       ok = ok && IS_MAJORITY(kept, all);
       kept = 0;
       n++
    :: else -> break
    od;
  }
  i = 0; j = 0; n = 0; voters = 0; all = 0;
}

inline loseDisk(x) {
  mayLose(current[x]);
  if
  :: ok ->
     losses++;
#ifdef SAME_IDENTITY
     log[current[x]].length = 0;
     term[current[x]] = 0;
     leads[current[x]] = false;
#else
     lost[current[x]] = true;
     leads[current[x]] = false;
     current[x] = INSTANCES + losses - 1;
     instanceOf[current[x]] = x;
#endif
  :: else -> skip
  fi;
  ok = false;
}

#define COMMITTED_IN_TERM(x) \
  (committedLength == log[x].length && committedTerm[LAST(x)] == log[x].entryTerm[LAST(x)] && \
   log[x].entryTerm[LAST(x)] == term[x])

/* x makes the next change that replaces a lost identity by the new one of its instance. */
inline changeMembers(x, y) {
  voters = VOTERS(x);
  for (i : 0 .. IDENTITIES - 1) {
    if
    :: i != y && instanceOf[i] == instanceOf[y] && lost[i] && IN(voters, i) -> n = i + 1;
    :: else -> skip
    fi;
  }
  if
  :: n > 0 -> append(x, (voters & ~(1 << (n - 1))));
  :: else -> append(x, (voters | (1 << y)));
  fi;
  i = 0; n = 0; voters = 0;
}

init {
  byte x, y;
  atomic {
    for (x : 0 .. INSTANCES - 1) {
      log[x].length = 1;
      log[x].entryTerm[0] = 1;
      log[x].voters[0] = 7;
      term[x] = 1;
      current[x] = x;
      instanceOf[x] = x;
    }
    committedTerm[0] = 1;
    committedLength = 1;
    x = 0;
  }
  do
  :: atomic {
       select(x : 0 .. IDENTITIES - 1);
       select(y : 0 .. IDENTITIES - 1);
       if
       :: y == 0 && !lost[x] && log[x].length > 0 && IN(VOTERS(x), x) && term[x] < MAXTERM -> elect(x)
       :: y == 0 && leads[x] && log[x].length < MAXLEN -> append(x, VOTERS(x))
       :: x != y && leads[x] && !lost[y] && term[y] <= term[x] && match[x].upTo[y] < log[x].length &&
          current[instanceOf[y]] == y -> replicate(x, y)
#ifdef COMMIT_OLD_TERMS
       :: y == 0 && leads[x] -> commit(x)
#else
       :: y == 0 && leads[x] && log[x].entryTerm[LAST(x)] == term[x] -> commit(x)
#endif
       :: y == 0 && x < INSTANCES && losses < LOSSES -> loseDisk(x)
       :: leads[x] && COMMITTED_IN_TERM(x) && log[x].length < MAXLEN && !IN(VOTERS(x), y) &&
          current[instanceOf[y]] == y && match[x].upTo[y] == log[x].length -> changeMembers(x, y)
       :: else -> skip
       fi;
       x = 0;
       y = 0;
     }
  od
}
