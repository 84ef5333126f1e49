/* Grants of one plan: two routers, one agent, the ledger. Every message may be delayed for any time, and a router that
 * is fenced may go on for any time without knowing it. Each request reserves one token and uses none or one.
 *
 * Holds: real spend never exceeds the budget, and each request is charged at most once.
 *
 * Switches that remove a guard: RETURN_AT_EXPIRY (the ledger takes the rest of a grant back on a timeout alone),
 * FORGET_LIVE_SESSIONS (the agent registers without the list of live sessions), CHARGE_TWICE (charges are not
 * idempotent), NO_DOUBT (the rest of a grant is returned although an agent that may have run its work has restarted).
 */
#define BUDGET 2
#define SESSIONS 2
#define PER_SESSION 2
#define REQUESTS 4
#define LAST_BOOT 1

#define OPEN 0
#define FENCING 1
#define CLOSED 2

#define UNKNOWN 0
#define RUNNING 1
#define DONE_FREE 2
#define DONE_CHARGED 3
#define REFUSED 4

#define sessionOf(id) ((id) / PER_SESSION)

/* ledger */
byte free = BUDGET;
byte inDoubt;
byte granted[SESSIONS];
byte charged[SESSIONS];
byte state[SESSIONS];
bool doubt[SESSIONS];
bool chargeKnown[REQUESTS];
byte timesCharged[REQUESTS];

/* agent */
byte boot;
bool registered = true;
bool accepts[SESSIONS] = true;
byte progress[REQUESTS];
byte spent;

/* messages under way */
bool dispatched[REQUESTS];
byte dispatchBoot[REQUESTS];
bool routerCharge[REQUESTS];
bool agentCharge[REQUESTS];
bool reported[SESSIONS];
bool reportedCharge[REQUESTS];

inline spend()
{
  spent++;
  assert(spent <= BUDGET);
}

inline applyCharge(id)
{
#ifdef CHARGE_TWICE
  if
  :: state[sessionOf(id)] != CLOSED ->
#else
  if
  :: state[sessionOf(id)] != CLOSED && !chargeKnown[id] ->
#endif
    chargeKnown[id] = true;
    timesCharged[id]++;
    charged[sessionOf(id)]++;
    assert(timesCharged[id] <= 1);
    assert(charged[sessionOf(id)] <= granted[sessionOf(id)])
  :: else
  fi
}

inline close(s)
{
  if
#ifndef NO_DOUBT
  :: doubt[s] -> inDoubt = inDoubt + granted[s] - charged[s]
#endif
  :: else -> free = free + granted[s] - charged[s]
  fi;
  state[s] = CLOSED
}

proctype Router(byte s)
{
  byte unreserved, nextRequest, id, k;
  bool waiting[PER_SESSION];
  do
  :: atomic { state[s] == OPEN && free > 0 -> free--; granted[s]++; unreserved++ }
  :: atomic { state[s] == OPEN && unreserved > 0 -> unreserved--; granted[s]--; free++ }
  :: atomic { unreserved > 0 && nextRequest < PER_SESSION ->
       id = s * PER_SESSION + nextRequest;
       waiting[nextRequest] = true;
       nextRequest++;
       unreserved--;
       dispatched[id] = true;
       dispatchBoot[id] = boot }
  :: atomic { nextRequest > 0 ->
       if
       :: k = 0
       :: nextRequest > 1 -> k = 1
       fi;
       id = s * PER_SESSION + k;
       if
       :: waiting[k] && (progress[id] == DONE_FREE || progress[id] == REFUSED) -> waiting[k] = false; unreserved++
       :: waiting[k] && progress[id] == DONE_CHARGED -> waiting[k] = false; routerCharge[id] = true
       :: waiting[k] && dispatchBoot[id] != boot ->
            /* The agent has restarted; the run is unknown and charged in full. */
            waiting[k] = false; routerCharge[id] = true
       :: else
       fi;
       id = 0; k = 0 }
  od
}

proctype Agent()
{
  byte id, s;
  do
  :: atomic { registered ->
       select(id : 0 .. REQUESTS - 1);
       if
       :: dispatched[id] && accepts[sessionOf(id)] && dispatchBoot[id] == boot && progress[id] == UNKNOWN ->
            dispatched[id] = false; progress[id] = RUNNING
       :: dispatched[id] && dispatchBoot[id] == boot && !accepts[sessionOf(id)] && progress[id] == UNKNOWN ->
            dispatched[id] = false; progress[id] = REFUSED
       :: dispatched[id] && dispatchBoot[id] != boot -> dispatched[id] = false
       :: progress[id] == RUNNING -> progress[id] = DONE_FREE
       :: progress[id] == RUNNING -> progress[id] = DONE_CHARGED; spend(); agentCharge[id] = true
       :: else
       fi;
       id = 0 }
  :: atomic { registered ->
       /* FenceSession: refuse, and report once no run of the session is in progress. */
       select(s : 0 .. SESSIONS - 1);
       if
       :: state[s] == FENCING ->
            accepts[s] = false;
            if
            :: progress[s * PER_SESSION] != RUNNING && progress[s * PER_SESSION + 1] != RUNNING && !reported[s] ->
                 reported[s] = true;
                 reportedCharge[s * PER_SESSION] = (progress[s * PER_SESSION] == DONE_CHARGED);
                 reportedCharge[s * PER_SESSION + 1] = (progress[s * PER_SESSION + 1] == DONE_CHARGED)
            :: else
            fi
       :: else
       fi;
       s = 0 }
  :: atomic { boot < LAST_BOOT ->
       boot++;
       registered = false;
       for (id : 0 .. REQUESTS - 1) {
         if
         :: progress[id] == RUNNING -> spend()
         :: else
         fi;
         progress[id] = UNKNOWN
       };
       id = 0 }
  :: atomic { !registered ->
       registered = true;
       for (s : 0 .. SESSIONS - 1) {
#ifdef FORGET_LIVE_SESSIONS
         accepts[s] = true;
#else
         accepts[s] = (state[s] == OPEN);
#endif
         if
         :: state[s] != CLOSED -> doubt[s] = true
         :: else
         fi
       };
       s = 0 }
  od
}

proctype Ledger()
{
  byte id, s;
  do
  :: atomic {
       select(s : 0 .. SESSIONS - 1);
       if
#ifdef RETURN_AT_EXPIRY
       :: state[s] == OPEN -> close(s)
#else
       :: state[s] == OPEN -> state[s] = FENCING
#endif
       :: state[s] == FENCING && reported[s] ->
            for (id : s * PER_SESSION .. s * PER_SESSION + 1) {
              if
              :: reportedCharge[id] -> applyCharge(id)
              :: else
              fi
            };
            close(s)
       :: else
       fi;
       s = 0; id = 0 }
  :: atomic {
       select(id : 0 .. REQUESTS - 1);
       if
       :: routerCharge[id] -> routerCharge[id] = false; applyCharge(id)
       :: agentCharge[id] -> agentCharge[id] = false; applyCharge(id)
       :: else
       fi;
       id = 0 }
  od
}

init
{
  atomic {
    run Router(0);
    run Router(1);
    run Agent();
    run Ledger()
  }
}
