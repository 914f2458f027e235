/* Epoch with exclusion under condition b, promises and store sessions (docs/design.md, section 6).
 *
 * Run:    spin -a DEFINES epoch.pml && cc -O2 -DSAFETY -DCOLLAPSE -DNOREDUCE -o pan pan.c && ./pan -m1000000
 * Result: "errors: 0" where ok is expected, an assertion violation where error is expected.
 *
 * MODEL epoch.pml VARIANT correct EXPECT ok DEFINES
 * MODEL epoch.pml VARIANT correct_five_hosts EXPECT ok DEFINES -DFIVE
 * MODEL epoch.pml VARIANT correct_joins EXPECT ok DEFINES -DJOINS
 * MODEL epoch.pml VARIANT correct_six_hosts EXPECT ok DEFINES -DSIX
 * MODEL epoch.pml VARIANT no_promise EXPECT error DEFINES -DNO_PROMISE
 * MODEL epoch.pml VARIANT read_ends_promise EXPECT error DEFINES -DREAD_ENDS_PROMISE
 * MODEL epoch.pml VARIANT no_session_check EXPECT error DEFINES -DNO_SESSION_CHECK
 * MODEL epoch.pml VARIANT ignore_lease EXPECT error DEFINES -DIGNORE_LEASE
 * MODEL epoch.pml VARIANT renewal_alone EXPECT error DEFINES -DRENEWAL_ALONE
 * MODEL epoch.pml VARIANT ungated EXPECT error DEFINES -DSIX -DUNGATED
 * MODEL epoch.pml VARIANT present_only EXPECT error DEFINES -DJOINS -DPRESENT_ONLY
 * MODEL epoch.pml VARIANT stale_zone EXPECT error DEFINES -DSTALE_ZONE
 * MODEL epoch.pml VARIANT any_set_size EXPECT error DEFINES -DFIVE -DANY_SET_SIZE
 * MODEL epoch.pml VARIANT no_zone_reports EXPECT error DEFINES -DFIVE -DNO_ZONE_REPORTS
 *
 * Hosts 0 and 1 form a zone and are the only ones that may be partitioned; the others hold their leases throughout.
 * The steps have the names of the Go state machine's actions and events. Time is abstract:
 *  - A positive reply to ReportSilence implies that the suspect's contact with the reporter has ended, because the
 *    fence time exceeds the contact window and both count from the suspect's send time or later.
 *  - A lease that has expired in the store has expired at its holder, because the holder counts from the send time.
 *  - Condition Z does not expire with time, so condition c and the isolation limit are not in the model.
 * The exploration in internal/membership covers terms, condition c, replacement and delayed messages. Knowledge of
 * other hosts' epochs is read from their state: a proposer's evidence is never newer than that.
 */

#ifdef FIVE
#define N 5
#define START 31
#define MAXEPOCH 2
#elif defined(SIX)
/* One more join than JOINS, since the rule on previous host sets covers the last one. Host 1 is not partitioned here,
   which keeps the search short. */
#define JOINS
#define N 6
#define START 7
#define MAXEPOCH 5
#elif defined(JOINS)
#define N 5
#define START 7
#define MAXEPOCH 4
#else
#define N 4
#define START 13
#define MAXEPOCH 3
#endif
#ifdef JOINS
/* One session is enough for stale epochs; with two, an exhaustive check of the correct variant is not feasible. */
#define MAXSESSION 1
#else
#define MAXSESSION 2
#endif
#define VICTIMS 2
#define ZONE 3
#define ALL 63

#define BIT(x) (1 << (x))
#define HAS(m, x) (((m) >> (x)) & 1)
#define POP(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1) + (((m) >> 4) & 1) + \
                (((m) >> 5) & 1))
#define MAJORITY(m, of) (2 * POP((m) & (of)) > POP(of))

/* State of the store: members by epoch number, the epoch that last changed the zone, sessions, registrations. */
byte epoch = 1;
byte members[MAXEPOCH + 1];
byte zoneChanged = 1;
byte session[VICTIMS];
bool registered[VICTIMS];
/* Set once the hosts of the previous epoch can no longer give majority contact under it. */
bool superseded;

/* State of the hosts: the newest epoch that each knows, and for the victims the rest of the machine's state. */
byte known[N];
byte readSession[VICTIMS];
bool lease[VICTIMS];
byte contact[VICTIMS];
/* Reporters by suspect and session; each report is a promise. */
byte reported[VICTIMS * (MAXSESSION + 1)];
#ifdef READ_ENDS_PROMISE
byte released[VICTIMS];
#endif

#define MEMBERS(h) members[known[h]]
#define REPORTS(h) reported[(h) * (MAXSESSION + 1) + session[h]]
#define HAS_L(h) lease[h]
#define HAS_M(h) MAJORITY(contact[h] | BIT(h), MEMBERS(h))
#define HAS_Z(h) MAJORITY(contact[h] | BIT(h), MEMBERS(h) & ZONE)
#define CAN_ADMIT(h) (HAS(MEMBERS(h), h) && (HAS_L(h) || HAS_M(h) || HAS_Z(h)))

/* A promise holds until the suspect has read the epoch in a later session. */
#ifdef NO_PROMISE
#define PROMISED(x, h) false
#elif defined(READ_ENDS_PROMISE)
#define PROMISED(x, h) (HAS(reported[(h) * (MAXSESSION + 1) + 1] | reported[(h) * (MAXSESSION + 1) + 2], x) && !HAS(released[h], x))
#elif MAXSESSION == 1
#define PROMISED(x, h) (HAS(reported[(h) * (MAXSESSION + 1) + 1], x) && readSession[h] <= 1)
#else
#define PROMISED(x, h) (HAS(reported[(h) * (MAXSESSION + 1) + 1], x) && readSession[h] <= 1 || \
                        HAS(reported[(h) * (MAXSESSION + 1) + 2], x) && readSession[h] <= 2)
#endif

/* knowers is the set of hosts that know the current epoch. GATE holds if it has a majority of the previous hosts. */
byte knowers;
inline countKnowers() {
  knowers = 0;
  for (j : 0 .. N - 1) {
    if
    :: known[j] >= epoch -> knowers = knowers | BIT(j)
    :: else
    fi
  }
}
#ifdef UNGATED
#define GATE true
#else
#define GATE (epoch == 1 || MAJORITY(knowers, members[epoch - 1]))
#endif
#ifdef PRESENT_ONLY
#define PAST_REPORTS(h) true
#else
#define PAST_REPORTS(h) (epoch == 1 || superseded || !HAS(members[epoch - 1], h) || \
                         MAJORITY(REPORTS(h), members[epoch - 1]))
#endif

#ifdef IGNORE_LEASE
#define LAPSED(h) true
#else
#define LAPSED(h) (!registered[h])
#endif
#ifdef STALE_ZONE
#define KNOWS_ZONE(h) true
#else
#define KNOWS_ZONE(h) (known[h] >= zoneChanged)
#endif
#ifdef NO_ZONE_REPORTS
#define ZONE_REPORTS(h) true
#else
#define ZONE_REPORTS(h) HAS(REPORTS(h), 1 - (h))
#endif
#define FENCED(h) (HAS(members[epoch], h) && session[h] > 0 && LAPSED(h) && KNOWS_ZONE(h) && \
                   MAJORITY(REPORTS(h), members[epoch]) && PAST_REPORTS(h))

#ifdef NO_SESSION_CHECK
/* The compare-and-swap accepts reports made under any earlier session. */
#undef REPORTS
#define REPORTS(h) (reported[(h) * (MAXSESSION + 1) + 1] | reported[(h) * (MAXSESSION + 1) + 2])
#endif

/* Changes of the steps in the broken variants. */
#ifdef RENEWAL_ALONE
#define AFTER_ACQUIRE(h) lease[h] = true
#else
#define AFTER_ACQUIRE(h) skip
#endif
/* Reports made under a session before the one that was followed by a read no longer have an effect. Clearing them
   merges states that are otherwise equal. */
#ifdef NO_SESSION_CHECK
#define FORGET(h) skip
#else
#define FORGET(h) if :: session[h] > 1 -> reported[(h) * (MAXSESSION + 1) + 1] = 0 :: else fi
#endif
#ifdef READ_ENDS_PROMISE
#define AFTER_READ(h) released[h] = ALL
#define AFTER_REPORT(h, x) released[h] = released[h] & (ALL - BIT(x))
#else
#define AFTER_READ(h) FORGET(h)
#define AFTER_REPORT(h, x) skip
#endif

inline check() {
  assert(HAS(members[epoch], 0) || !CAN_ADMIT(0));
  assert(HAS(members[epoch], 1) || !CAN_ADMIT(1))
}

byte next, j;
inline newEpoch(m, proposer) {
  countKnowers();
  if
  :: GATE ->
       next = m;
       epoch++;
       members[epoch] = next;
       if
       :: ((members[epoch] ^ members[epoch - 1]) & ZONE) -> zoneChanged = epoch
       :: else
       fi;
       superseded = false;
       known[proposer] = epoch
  :: else
  fi;
  next = 0; knowers = 0; j = 0;
  check()
}

/* Steps of one victim.
   AcquireLease: a registration and a new session record in one transaction.
   ReadEpoch: the lease is valid if the registration exists.
   The lease expires at its holder, and later in the store. */
#define VICTIM(h) \
  :: d_step { session[h] < MAXSESSION && !registered[h] -> \
       session[h]++; registered[h] = true; AFTER_ACQUIRE(h); check() } \
  :: d_step { session[h] > 0 -> \
       known[h] = epoch; readSession[h] = session[h]; AFTER_READ(h); lease[h] = registered[h]; check() } \
  :: d_step { lease[h] -> lease[h] = false } \
  :: d_step { registered[h] -> registered[h] = false; lease[h] = false }

/* Steps of a victim and another host.
   HeartbeatReplied: the newer epoch is installed before the reply counts.
   Contact ends.
   AnswerReport: no contact for the fence time, under the session that the proposer found without a registration. */
#define PAIR(h, x) \
  :: d_step { known[x] > known[h] || (!HAS(contact[h], x) && !PROMISED(x, h)) -> \
       if :: known[x] > known[h] -> known[h] = known[x] :: else fi; \
       if :: !PROMISED(x, h) -> contact[h] = contact[h] | BIT(x) :: else fi; \
       check() } \
  :: d_step { HAS(contact[h], x) -> contact[h] = contact[h] & (ALL - BIT(x)) } \
  :: d_step { session[h] > 0 && LAPSED(h) && HAS(members[epoch], h) && !HAS(contact[h], x) && \
              !HAS(reported[(h) * (MAXSESSION + 1) + session[h]], x) -> \
       reported[(h) * (MAXSESSION + 1) + session[h]] = reported[(h) * (MAXSESSION + 1) + session[h]] | BIT(x); \
       AFTER_REPORT(h, x) }

/* EpochRead or a relayed epoch at a host that is not partitioned, and the exclusions that it proposes. */
#define OTHER(x) \
  :: d_step { known[x] < epoch -> known[x] = epoch } \
  EXCLUDE(x, 0, 1) \
  EXCLUDE(x, 1, 0) \
  EXCLUDE_BOTH(x)

/* ProposeEpoch: exclusion of one host of the zone under condition b. */
#define EXCLUDE(x, h, zonePeer) \
  :: d_step { known[x] == epoch && epoch < MAXEPOCH && FENCED(h) && HAS(members[epoch], zonePeer) && ZONE_REPORTS(h) -> \
       newEpoch(members[epoch] & (ALL - BIT(h)), x) }

#ifdef ANY_SET_SIZE
#define EXCLUDE_BOTH(x) \
  :: d_step { known[x] == epoch && epoch < MAXEPOCH && FENCED(0) && FENCED(1) -> \
       newEpoch(members[epoch] & (ALL - ZONE), x) }
#else
#define EXCLUDE_BOTH(x)
#endif

/* ProposeEpoch: join. */
#define JOIN(h, isRegistered) \
  :: d_step { !HAS(members[epoch], h) && isRegistered && known[h] == epoch && epoch < MAXEPOCH -> \
       newEpoch(members[epoch] | BIT(h), h) }

active proctype hosts() {
  d_step {
    members[1] = START;
    for (j : 0 .. N - 1) { known[j] = 1 }
    for (j : 0 .. VICTIMS - 1) {
      if
      :: HAS(START, j) -> session[j] = 1; registered[j] = true; readSession[j] = 1; lease[j] = true
      :: else
      fi
    }
    j = 0
  }
  do
  VICTIM(0)
  PAIR(0, 1) PAIR(0, 2)
#ifndef SIX
  VICTIM(1)
  PAIR(1, 0) PAIR(1, 2)
#endif
  JOIN(0, registered[0])
  JOIN(1, registered[1])
  JOIN(2, true)
  OTHER(2)
#if N > 3
  PAIR(0, 3)
  OTHER(3)
#ifndef SIX
  PAIR(1, 3)
#endif
#endif
#if N > 4
  PAIR(0, 4)
  OTHER(4)
#ifndef SIX
  PAIR(1, 4)
#endif
#endif
#if N > 5
  PAIR(0, 5)
  OTHER(5)
  JOIN(5, true)
#endif
#ifdef JOINS
  JOIN(3, true)
  JOIN(4, true)
#endif
  /* The contact window has passed since a majority of the previous hosts learned the epoch: a victim that does not
     know the epoch no longer has contact with them from before. */
  :: d_step { epoch > 1 && !superseded ->
       countKnowers();
       for (j : 0 .. VICTIMS - 1) {
         if
         :: known[j] < epoch -> knowers = knowers & (ALL - contact[j])
         :: else
         fi
       }
       superseded = MAJORITY(knowers, members[epoch - 1]);
       j = 0; knowers = 0 }
  od
}
