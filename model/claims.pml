/* Claim of one request that must not run twice: two routers, an agent that may restart, dispatches that arrive late or
 * twice. A router that stops for good is one that takes no further step. A connection ends with the process it leads to
 * and keeps its order, so a first copy that its repeat has overtaken on a newer connection cannot reach a later boot.
 *
 * Holds: the request runs at most once over all attempts, and every "not run" answer about an attempt stays true.
 *
 * Switches that remove a guard: NO_TOMBSTONE (a "never ran" answer or refusal is not remembered), NO_BOOT_CHECK (the
 * agent does not compare the expected boot), REBIND_WITHOUT_PROOF (a claim moves to the next attempt without a "not
 * run" answer), NO_WATERMARK (dropped runs and tombstones leave no trace), NO_REPEAT_MARK (a repeated dispatch is
 * refused at another boot like a first one).
 */
#define ATTEMPTS 3
#define LAST_BOOT 1

#define UNKNOWN 0
#define RAN 1
#define TOMBSTONE 2

/* replicated claim; attempt 0: not claimed */
byte claimAttempt;
byte claimBoot;

/* agent */
byte boot;
byte known[ATTEMPTS];
bool forgotten;

/* messages under way, by attempt - 1 */
bool first[ATTEMPTS];
bool repeated[ATTEMPTS];
bool overtaken[ATTEMPTS];
byte sentBoot[ATTEMPTS];
bool refused[ATTEMPTS];

/* what really happened */
byte runs;
bool ran[ATTEMPTS];
bool saidNotRun[ATTEMPTS];

inline sayNotRun(a)
{
  assert(!ran[a]);
  saidNotRun[a] = true
}

inline writeTombstone(a)
{
#ifndef NO_TOMBSTONE
  known[a] = TOMBSTONE
#else
  skip
#endif
}

inline execute(a)
{
  runs++;
  assert(runs <= 1);
  assert(!saidNotRun[a]);
  ran[a] = true;
  known[a] = RAN
}

inline deliver(a, isRepeat)
{
  if
#ifndef NO_BOOT_CHECK
  :: sentBoot[a] != boot ->
       if
#ifndef NO_REPEAT_MARK
       :: isRepeat -> skip /* answered "unknown" */
#endif
       :: else -> sayNotRun(a); refused[a] = true
       fi
  :: sentBoot[a] == boot && known[a] == RAN -> skip
#else
  :: known[a] == RAN -> skip
#endif
  :: else ->
       if
       :: known[a] == TOMBSTONE -> sayNotRun(a); refused[a] = true
       :: known[a] == UNKNOWN && forgotten -> skip /* answered "unknown" */
       :: known[a] == UNKNOWN && !forgotten -> execute(a)
       :: known[a] == UNKNOWN && !forgotten -> /* full, or the upstream is down */
            writeTombstone(a); sayNotRun(a); refused[a] = true
       fi
  fi
}

proctype Router()
{
  byte mine, myBoot, proof, a;
  bool sent;
  do
  :: atomic { claimAttempt == 0 -> claimAttempt = 1; claimBoot = boot; mine = 1; myBoot = boot }
  :: atomic { mine != 0 && !sent -> sent = true; first[mine - 1] = true; sentBoot[mine - 1] = myBoot }
  :: atomic { sent && mine != 0 -> repeated[mine - 1] = true }
  :: atomic { claimAttempt != 0 && refused[claimAttempt - 1] -> proof = claimAttempt }
  :: atomic { claimAttempt != 0 ->
       /* RunQuery about the attempt that the claim names */
       a = claimAttempt - 1;
       if
#ifndef NO_BOOT_CHECK
       :: claimBoot != boot -> skip /* answered "unknown" */
       :: claimBoot == boot && known[a] == RAN -> skip
#else
       :: known[a] == RAN -> skip
#endif
       :: else ->
            if
            :: known[a] == UNKNOWN && forgotten -> skip /* answered "unknown" */
            :: else -> writeTombstone(a); sayNotRun(a); proof = claimAttempt
            fi
       fi;
       a = 0 }
#ifdef REBIND_WITHOUT_PROOF
  :: atomic { claimAttempt != 0 && claimAttempt < ATTEMPTS ->
#else
  :: atomic { proof != 0 && proof == claimAttempt && claimAttempt < ATTEMPTS ->
#endif
       claimAttempt++; claimBoot = boot; mine = claimAttempt; myBoot = boot; sent = false; proof = 0 }
  od
}

proctype Agent()
{
  byte a;
  do
  :: atomic {
       select(a : 0 .. ATTEMPTS - 1);
       if
       :: first[a] -> first[a] = false; deliver(a, false)
       :: repeated[a] -> repeated[a] = false; overtaken[a] = first[a]; deliver(a, true)
       :: known[a] != UNKNOWN -> /* too old to be kept */
            known[a] = UNKNOWN;
#ifndef NO_WATERMARK
            forgotten = true
#endif
       :: else
       fi;
       a = 0 }
  :: atomic { boot < LAST_BOOT ->
       boot++;
       forgotten = false;
       for (a : 0 .. ATTEMPTS - 1) {
         known[a] = UNKNOWN;
         if
         :: overtaken[a] -> first[a] = false; overtaken[a] = false
         :: else
         fi
       };
       a = 0 }
  od
}

init
{
  atomic {
    run Router();
    run Router();
    run Agent()
  }
}
