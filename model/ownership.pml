/*
 * Core protocol: which entry may act for a shard, and where its one job runs.
 *
 * Spin searches every order of the steps below. Entry 0 owns the shard at the
 * start, entry 1 may succeed it, entry 2 only votes; two agents may run the
 * job. No step is mandatory: an outage of the store, a lost message or reply,
 * and a paused process are modelled as steps not taken while time passes. The
 * effect of a store write and its reply are separate steps. README.md maps each
 * step to the function that implements it.
 *
 * Checked: the job never runs at two workers at once; no epoch is started
 * twice, so that evicted work resumes exactly once.
 *
 * Mutations (-D), each of which must break this: NO_WAIT, NO_FENCE,
 * BLIND_WRITE, BLIND_ASSIGN, NO_MAJORITY, RESUME_WITHOUT_EPOCH, NO_SILENCE,
 * DATED_BY_RECEIPT. SHOW_RESUME must fail too: it shows that the search covers
 * a resume after a takeover.
 */

/* In ticks. Rounds, attestations and promises are valid until the next tick. */
#define TASK_LEASE 2 /* from the sending of the agent's heartbeat */
#define MARGIN 1
#define TENURE_WAIT (1 + TASK_LEASE + MARGIN)
#define STORE_LEASE 2
#ifdef NO_SILENCE
#define SILENCE 0
#else
#define SILENCE 3 /* promise window, attestation, margin */
#endif

#define MAX_EPOCH 3
#define NOBODY 2
#define OPEN 7 /* no majority of promises yet */

/* Progress of a call. */
#define IDLE 0
#define SENT 1
#define DONE 2
#define REFUSED 3

/* The store. */
byte storeLease = STORE_LEASE; /* of entry 0's tenure */
bit shardOwner;                /* generation = owner + 1 */
byte jobEpoch;
byte jobAgent = NOBODY;

/* Owners. */
bool mayAct[2];     /* 0: until the next tick; 1: since it read its success */
byte knownEpoch[2];
byte knownAgent[2];
byte write[2];      /* an assignment in flight to the store */
byte writeAgent[2];
bool ended[2];      /* the agent reported the end of the known epoch */
byte beat[4];       /* margin + lease since the last heartbeat of that agent */
byte assign[4];     /* epoch started by the message in flight */
byte assignAge[4];  /* remaining lease, from the heartbeat it names */

bool attested;       /* by a majority, since the last tick */
byte closing = OPEN; /* entry 1's wait after a majority of promises */

/* Voter 2. Voter 1 promises when it learns that it owns the shard. */
bool promised;
byte silent;

/* Agents and their workers. */
byte fence[2]; /* highest generation */
byte seen[2];  /* highest epoch */
byte worker[2]; /* lease of the running epoch, the one last seen */
bool started[MAX_EPOCH + 1];

#define AT(e, a) ((e) * 2 + (a))
#define DOWN(t) if :: t > 0 -> t-- :: else fi
#define LEASE_OF(b) ((b) > MARGIN -> (b) - MARGIN : 0)

inline TickPair(p)
{
  DOWN(beat[p]);
  DOWN(assignAge[p]);
  if :: assignAge[p] == 0 -> assign[p] = 0 :: else fi
}

/* Resets entry 0's state once it no longer matters, to limit the search. */
inline ForgetFirstOwner()
{
  if
  :: shardOwner == 1 && !mayAct[0] ->
    storeLease = 0;
    knownEpoch[0] = 0;
    knownAgent[0] = NOBODY;
    ended[0] = false;
    write[0] = IDLE;
    writeAgent[0] = 0;
    if :: beat[0] <= MARGIN -> beat[0] = 0 :: else fi;
    if :: beat[1] <= MARGIN -> beat[1] = 0 :: else fi;
    if :: closing != OPEN -> promised = false; silent = 0 :: else fi
  :: else
  fi
}

inline TimePasses()
{
  DOWN(storeLease);
  DOWN(silent);
  if :: closing != OPEN && closing > 0 -> closing-- :: else fi;
  /* Without an attestation there is a gap, which no later one can end. */
  mayAct[0] = attested;
  attested = false;
  TickPair(0); TickPair(1); TickPair(2); TickPair(3);
  DOWN(worker[0]);
  DOWN(worker[1]);
  ForgetFirstOwner()
}

inline ReadBack(e)
{
  knownEpoch[e] = jobEpoch;
  knownAgent[e] = jobAgent;
  ended[e] = false;
  write[e] = IDLE;
  writeAgent[e] = 0
}

/* The lease counts from the agent's last heartbeat; without one, sent later. */
inline SendAssign(e)
{
  if
  :: mayAct[e] && LEASE_OF(beat[AT(e, knownAgent[e])]) > 0 ->
    assign[AT(e, knownAgent[e])] = knownEpoch[e];
    assignAge[AT(e, knownAgent[e])] = LEASE_OF(beat[AT(e, knownAgent[e])])
  :: else
  fi
}

inline Written(e)
{
  knownEpoch[e]++;
  knownAgent[e] = writeAgent[e];
  ended[e] = false;
  write[e] = IDLE;
  writeAgent[e] = 0;
  SendAssign(e)
}

#ifdef NO_WAIT
#define CLOSED(e) true
#else
#define CLOSED(e) ((e) == 0 || closing == 0)
#endif
#ifdef BLIND_ASSIGN
#define MAY_START(e) true
#else
#define MAY_START(e) (knownEpoch[e] == 0 || ended[e] || \
                      (CLOSED(e) && beat[AT(e, knownAgent[e])] == 0))
#endif
#define MAY_WRITE(e) (mayAct[e] && write[e] == IDLE && \
                      knownEpoch[e] < MAX_EPOCH && MAY_START(e))

inline ApplyWrite(e)
{
  if
  :: shardOwner == e && jobEpoch == knownEpoch[e] ->
#ifndef RESUME_WITHOUT_EPOCH
    jobEpoch++;
#endif
    jobAgent = writeAgent[e];
    write[e] = DONE
  :: else -> write[e] = REFUSED
  fi
}

/* The agent's heartbeat arrives: its report is applied, its lease extended. */
inline HandleBeat(e, a)
{
  beat[AT(e, a)] = TASK_LEASE + MARGIN;
  if
  :: fence[a] == e + 1 && seen[a] >= knownEpoch[e] && worker[a] == 0 ->
     ended[e] = true
  :: fence[a] == e + 1 && seen[a] < knownEpoch[e] &&
     assign[AT(e, a)] == 0 && write[e] == IDLE -> SendAssign(e)
  :: else
  fi
}

#ifdef DATED_BY_RECEIPT
#define REPLY_LEFT(e, a) ((e) == 0)
#else
#define REPLY_LEFT(e, a) (beat[AT(e, a)] > MARGIN)
#endif

/* The reply arrives: the agent renews the running task at its worker. */
inline TakeLease(e, a)
{
  if
  :: fence[a] <= e + 1 ->
    fence[a] = e + 1;
    if
    :: worker[a] > 0 ->
#ifdef DATED_BY_RECEIPT
      worker[a] = TASK_LEASE
#else
      worker[a] = (LEASE_OF(beat[AT(e, a)]) > worker[a] ->
                   LEASE_OF(beat[AT(e, a)]) : worker[a])
#endif
    :: else
    fi
  :: else
  fi
}

#ifdef NO_FENCE
#define ACCEPTS(e, a) (worker[a] == 0)
#else
#define ACCEPTS(e, a) (fence[a] <= e + 1 && assign[AT(e, a)] > seen[a])
#endif

inline Deliver(e, a)
{
  if
  :: ACCEPTS(e, a) ->
#ifndef NO_FENCE
    fence[a] = e + 1;
#endif
    seen[a] = assign[AT(e, a)];
    worker[a] = assignAge[AT(e, a)];
    assert(!started[seen[a]]);
    started[seen[a]] = true;
    assert(worker[0] == 0 || worker[1] == 0);
#ifdef SHOW_RESUME
    assert(!(shardOwner == 1 && seen[a] == 2 && seen[1 - a] == 1))
#endif
  :: else
  fi;
  assign[AT(e, a)] = 0;
  assignAge[AT(e, a)] = 0
}

#ifdef BLIND_WRITE
#define AFTER_LOST_REPLY(e) Written(e)
#else
#define AFTER_LOST_REPLY(e) ReadBack(e)
#endif

#define OWNER_STEPS(e) \
  :: d_step { MAY_WRITE(e) -> write[e] = SENT; writeAgent[e] = 0 } \
  /* The agents are symmetric, so the first assignment may go to agent 0. */ \
  :: d_step { MAY_WRITE(e) && (e == 1 || knownEpoch[e] > 0) -> \
              write[e] = SENT; writeAgent[e] = 1 } \
  :: d_step { write[e] == SENT -> ApplyWrite(e) } \
  :: d_step { write[e] == DONE -> Written(e) } \
  :: d_step { write[e] != IDLE -> AFTER_LOST_REPLY(e) }

#define PAIR_STEPS(e, a) \
  /* Only the heartbeats of the job's own agent change anything. */ \
  :: d_step { mayAct[e] && a == knownAgent[e] && \
              beat[AT(e, a)] < TASK_LEASE + MARGIN -> HandleBeat(e, a) } \
  :: d_step { REPLY_LEFT(e, a) -> TakeLease(e, a) } \
  :: d_step { assign[AT(e, a)] != 0 -> Deliver(e, a) }

init
{
  d_step {
    mayAct[0] = true;
    knownAgent[0] = NOBODY;
    knownAgent[1] = NOBODY
  };
  do
  :: d_step { TimePasses() }

  /* Entry 0 renews its store lease; the reply arrives or is lost. */
  :: d_step { storeLease > 0 && shardOwner == 0 ->
              storeLease = STORE_LEASE; mayAct[0] = true }
  :: d_step { storeLease > 0 && shardOwner == 0 -> storeLease = STORE_LEASE }

  /* When unsure it asks the voters; one besides itself is a majority. */
  :: d_step { mayAct[0] && !mayAct[1] -> attested = true }
  :: d_step { mayAct[0] && !promised && silent == 0 -> attested = true }
#ifdef NO_MAJORITY
  :: d_step { mayAct[0] -> attested = true }
#endif

  /* Entry 1 succeeds entry 0: the effect, then its reply or the read-back. */
  :: d_step { shardOwner == 0 && storeLease == 0 -> shardOwner = 1 }
  :: d_step { shardOwner == 1 && !mayAct[1] -> mayAct[1] = true; ReadBack(1) }

  /* It collects the promise of voter 2 or entry 0, or the reply is lost. */
  :: d_step { mayAct[1] && closing == OPEN ->
              promised = true; closing = TENURE_WAIT }
  :: d_step { mayAct[1] && closing == OPEN ->
              mayAct[0] = false; attested = false; closing = TENURE_WAIT }
  :: d_step { mayAct[1] && closing == OPEN -> promised = true }
  /* Voter 2 restarts and loses its promise. */
  :: d_step { (promised || silent > 0) && mayAct[0] -> promised = false; silent = SILENCE }

  OWNER_STEPS(0)
  OWNER_STEPS(1)
  PAIR_STEPS(0, 0)
  PAIR_STEPS(0, 1)
  PAIR_STEPS(1, 0)
  PAIR_STEPS(1, 1)

  /* Evicted with a checkpoint, or ended by itself. */
  :: d_step { worker[0] > 0 -> worker[0] = 0 }
  :: d_step { worker[1] > 0 -> worker[1] = 0 }
  od
}
