/*
 * At-most-once claims (internal/claim). Three attempts with one idempotency key on two hosts: attempts 0 and 2 on
 * host 0, attempt 1 on host 1. A write to the store may get no response, before or after it took effect, or take
 * effect later. Host 0 may crash at any time, and a queried host may appear unreachable. A dispatched call is run, or
 * all backend servers refuse it and its attempt is given up; the release may be delayed as well. Phases and events
 * have the names of internal/claim/machine.go. Checked: at most one attempt runs the call, and every replayed
 * response is that of the attempt that ran.
 *
 * spin -a DEFINES claim.pml && gcc -O2 -DSAFETY -DNOREDUCE -o pan pan.c && ./pan -m100000
 *
 * MODEL claim.pml VARIANT correct EXPECT ok DEFINES
 * MODEL claim.pml VARIANT dispatch-before-acknowledgement EXPECT error DEFINES -DGRANT_BEFORE_ACKNOWLEDGEMENT
 * MODEL claim.pml VARIANT take-over-without-asking EXPECT error DEFINES -DTAKE_OVER_WITHOUT_ASKING
 * MODEL claim.pml VARIANT give-up-not-final EXPECT error DEFINES -DGIVE_UP_IS_NOT_FINAL
 * MODEL claim.pml VARIANT gone-host-counts-as-given-up EXPECT error DEFINES -DGONE_IS_GIVEN_UP
 * MODEL claim.pml VARIANT take-over-without-compare EXPECT error DEFINES -DTAKE_OVER_WITHOUT_COMPARE
 * MODEL claim.pml VARIANT give-up-although-it-may-have-run EXPECT error DEFINES -DGIVE_UP_MAY_HAVE_RUN
 * MODEL claim.pml VARIANT release-without-compare EXPECT error DEFINES -DRELEASE_WITHOUT_COMPARE
 * MODEL claim.pml VARIANT reach-run-after-not-run EXPECT error DEFINES -DREACH_RUN_AFTER_NOT_RUN
 * MODEL claim.pml VARIANT reach-late-release EXPECT error DEFINES -DREACH_LATE_RELEASE
 * MODEL claim.pml VARIANT reach-run-after-take-over EXPECT error DEFINES -DREACH_RUN_AFTER_TAKE_OVER
 * MODEL claim.pml VARIANT reach-replay EXPECT error DEFINES -DREACH_REPLAY
 * MODEL claim.pml VARIANT reach-late-write EXPECT error DEFINES -DREACH_LATE_WRITE
 *
 * The variants named reach- assert that a situation never occurs; their error shows that the model reaches it.
 */

#define ATTEMPTS 3
#define HOST(i) (i % 2)
#define NONE 255

mtype = { Creating, Asking, TakingOver, Claimed, Dispatched, Recording, Recorded, Refused };
mtype = { Absent, InProgress, Done, Unknown };

/* The claim record in the store. recordRevision is 0 while the record is absent. */
mtype recordState = Absent;
byte recordAttempt = NONE;
byte recordRevision = 0;
byte revision = 0;

mtype phase[ATTEMPTS];
byte claimRevision[ATTEMPTS];
bool tookOver[ATTEMPTS];
bool lostAnswer[ATTEMPTS];
/* A write whose response was lost and which has not taken effect yet. */
bool late[ATTEMPTS];
byte lateCompare[ATTEMPTS];
mtype lateState[ATTEMPTS];
bool dead[2];
byte runs = 0;
byte ranAttempt = NONE;
#ifdef REACH_RUN_AFTER_NOT_RUN
bool notRun = false;
#endif

/* Transaction of the store: compares the revision, then writes or deletes the record. */
inline StoreApply(compare, state, who, ok) {
	if
	:: recordRevision == compare ->
		revision++;
		recordState = state;
		if
		:: state == Absent -> recordRevision = 0; recordAttempt = NONE
		:: else -> recordRevision = revision; recordAttempt = who
		fi;
		ok = true
	:: else -> ok = false
	fi
}

/* EventAsked for the attempt that the record names. The host no longer knows attempts that are final in the store. */
inline Asked(who, reply) {
	if
	:: phase[who] == Dispatched -> reply = Dispatched
	:: phase[who] == Recording && !lostAnswer[who] -> reply = Done
	:: phase[who] == Recording && lostAnswer[who] -> reply = Unknown
	:: phase[who] == Recorded || phase[who] == Refused -> reply = Refused
	:: else ->
#ifndef GIVE_UP_IS_NOT_FINAL
		phase[who] = Refused;
#endif
		reply = Refused
	fi
}

/* ActionRelease: the write is retried and compares the revision. It takes effect, fails, or takes effect later. */
inline Release(who, ok) {
	if
	:: true -> StoreApply(claimRevision[who], Absent, NONE, ok)
	:: true -> late[who] = true; lateCompare[who] = claimRevision[who]; lateState[who] = Absent
	:: true
	fi
}

inline Replay(who) {
#ifdef REACH_REPLAY
	assert(false);
#endif
	assert(ranAttempt == who)
}

proctype Attempt(byte i) {
	byte compare = 0;
	byte other = NONE;
	bool ok;
	mtype reply;
	byte rounds = 0;
	bool lost = false;
	bool acted = false;

#ifdef GRANT_BEFORE_ACKNOWLEDGEMENT
	phase[i] = Claimed;
#endif
	do
	/* ActionCreate, ActionTakeOver: the write is sent to the store; its response arrives in a later step. */
	:: atomic { !dead[HOST(i)] && (phase[i] == Creating || phase[i] == TakingOver) ->
#ifdef TAKE_OVER_WITHOUT_COMPARE
		if
		:: phase[i] == TakingOver && recordRevision != 0 -> compare = recordRevision
		:: else
		fi;
#endif
		if
		:: true -> StoreApply(compare, InProgress, i, ok)
		:: true -> late[i] = true; lateCompare[i] = compare; lateState[i] = InProgress; goto storeFailed
		:: true -> goto storeFailed
		fi
	   }
	   if
	   :: atomic { !dead[HOST(i)] && ok -> claimRevision[i] = recordRevision;
		/* EventAcknowledged. If the record was taken over in the meantime, this attempt is refused. */
		if
		:: phase[i] == Refused -> goto finished
		:: else -> phase[i] = Claimed
		fi
	      }
	   :: atomic { !dead[HOST(i)] && !ok ->
		/* EventConflict with the current record. */
		rounds++;
		compare = recordRevision;
		other = recordAttempt;
		if
		:: phase[i] == Refused || rounds > 2 -> phase[i] = Refused; goto finished
		:: else ->
			if
			:: recordState == Absent -> phase[i] = Creating; compare = 0
			:: recordState == Done -> Replay(other); phase[i] = Refused; goto finished
			:: recordState == Unknown -> phase[i] = Refused; goto finished
			:: recordState == InProgress ->
#ifdef TAKE_OVER_WITHOUT_ASKING
				tookOver[i] = true; phase[i] = TakingOver
#else
				phase[i] = Asking
#endif
			fi
		fi
	      }
	   :: atomic { !dead[HOST(i)] -> goto storeFailed }
	   :: dead[HOST(i)] -> goto finished
	   fi

	/* ActionAsk: EventPeerAnswered or EventPeerGone. */
	:: atomic { !dead[HOST(i)] && phase[i] == Asking ->
		if
		:: dead[HOST(other)] ->
#ifdef GONE_IS_GIVEN_UP
			reply = Refused
#else
			reply = Unknown
#endif
		:: !dead[HOST(other)] -> Asked(other, reply)
		:: true -> reply = Unknown
		fi;
		if
		:: reply == Refused -> tookOver[i] = true; phase[i] = TakingOver
		:: reply == Done -> Replay(other); phase[i] = Refused; goto finished
		:: else -> phase[i] = Refused; goto finished
		fi
	   }

	/* EventDispatching, then the call itself: a backend server runs it, or no byte of it reaches a backend server. */
	:: atomic { !dead[HOST(i)] && phase[i] == Claimed -> phase[i] = Dispatched }
	   if
	   :: atomic { !dead[HOST(i)] -> runs++; ranAttempt = i; acted = true;
#ifdef REACH_RUN_AFTER_TAKE_OVER
		assert(!tookOver[i]);
#endif
#ifdef REACH_RUN_AFTER_NOT_RUN
		assert(!notRun);
#endif
		assert(runs <= 1)
	      }
	   :: !dead[HOST(i)] -> skip
	   :: dead[HOST(i)] -> goto finished
	   fi;
	   /* EventFinished, EventLost, or EventNotRun with ActionRelease. EventLost if the call may have run. */
	   if
	   :: atomic { !dead[HOST(i)] && acted -> phase[i] = Recording }
	   :: atomic { !dead[HOST(i)] -> phase[i] = Recording; lost = true; lostAnswer[i] = true }
#ifdef GIVE_UP_MAY_HAVE_RUN
	   :: atomic { !dead[HOST(i)] ->
#else
	   :: atomic { !dead[HOST(i)] && !acted ->
#endif
		phase[i] = Refused;
#ifdef REACH_RUN_AFTER_NOT_RUN
		notRun = true;
#endif
		Release(i, ok);
		goto finished
	      }
	   :: dead[HOST(i)] -> goto finished
	   fi

	/* EventAbandoned in phase Claimed: ActionRelease, which may fail. */
	:: atomic { !dead[HOST(i)] && phase[i] == Claimed -> phase[i] = Refused;
		Release(i, ok);
		goto finished
	   }

	/* ActionRecord: retried until it is acknowledged; a retry may find the record of the first write. */
	:: atomic { !dead[HOST(i)] && phase[i] == Recording && !lost ->
		StoreApply(claimRevision[i], Done, i, ok);
		if
		:: true -> phase[i] = Recorded; goto finished
		:: true
		fi
	   }
	:: atomic { !dead[HOST(i)] && phase[i] == Recording && lost ->
		StoreApply(claimRevision[i], Unknown, i, ok);
		if
		:: true -> phase[i] = Recorded; goto finished
		:: true
		fi
	   }

	:: phase[i] == Refused -> goto finished
	:: dead[HOST(i)] -> goto finished
	od;

storeFailed:
	/* EventStoreFailed: the call is refused as not run, and giving up the attempt is final. */
	phase[i] = Refused;
finished:
	skip
}

/* A write that takes effect after its sender stopped waiting for the response. */
proctype LateWrite(byte i) {
	bool ok;
	end: atomic { late[i] -> late[i] = false;
#ifdef REACH_LATE_WRITE
		assert(recordRevision != lateCompare[i]);
#endif
#ifdef REACH_LATE_RELEASE
		assert(lateState[i] != Absent || recordRevision == lateCompare[i] || recordRevision == 0);
#endif
		if
#ifdef RELEASE_WITHOUT_COMPARE
		:: lateState[i] == Absent -> StoreApply(recordRevision, Absent, NONE, ok)
#else
		:: lateState[i] == Absent -> StoreApply(lateCompare[i], Absent, NONE, ok)
#endif
		:: else -> StoreApply(lateCompare[i], InProgress, i, ok)
		fi
	}
}

proctype HostDeath() {
	end: atomic { true -> dead[0] = true }
}

init {
	atomic {
		byte i = 0;
		do
		:: i < ATTEMPTS -> phase[i] = Creating; run Attempt(i); run LateWrite(i); i++
		:: else -> break
		od;
		run HostDeath()
	}
}
