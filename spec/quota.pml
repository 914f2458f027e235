/*
 * Token bucket of one zone's share: refill, grants, settlement, closing of entries, takeover by a new home host.
 *
 * Every variant is checked exhaustively with:
 *   spin -a DEFINES quota.pml && cc -O2 -DSAFETY -DNOREDUCE -o pan pan.c && ./pan -m1000000
 * "ok" means "errors: 0"; "error" means that pan reports an assertion violation.
 *
 * MODEL quota.pml VARIANT sound EXPECT ok DEFINES
 * MODEL quota.pml VARIANT rate_lent EXPECT error DEFINES -DRATE_LENT
 * MODEL quota.pml VARIANT refund_without_cap EXPECT error DEFINES -DNO_CAP
 * MODEL quota.pml VARIANT starts_full EXPECT error DEFINES -DSTARTS_FULL
 * MODEL quota.pml VARIANT term_from_receipt EXPECT error DEFINES -DTERM_FROM_RECEIPT
 * MODEL quota.pml VARIANT refund_after_close EXPECT error DEFINES -DREFUND_AFTER_CLOSE
 * MODEL quota.pml VARIANT no_reduced_cap EXPECT error DEFINES -DNO_REDUCED_CAP
 * MODEL quota.pml VARIANT no_half_rule EXPECT error DEFINES -DNO_HALF_RULE
 *
 * Time is a counter of ticks; one tick refills one token, so a window of w ticks may admit BURST + w. The bound is
 * checked by a reference bucket that starts full, refills with every tick and is debited by each admitted amount at
 * the time of admission. A reservation is debited in full; an amount that it returns is credited to the reference
 * bucket as if it had never been admitted, so that only the amount finally settled counts, as of admission.
 * All clocks run at the same rate here; the exploration in internal/quota covers different clock rates.
 */

#define BURST   4
#define HALF    2
#define TERM    4   /* ticks in which a borrower may admit from a grant */
#define CLOSE   5   /* ticks after which an unsettled entry counts as used */
#define HORIZON 13  /* ticks explored */

byte now = 0;
byte level = 0;            /* of the home host */
byte inherited = 0;        /* upper bound of the unspent amounts of the predecessor's grants */
byte inheritedUntil = 0;
bool taken = false;        /* one takeover is explored */

/* One grant: the lender's entry and the borrower's copy. */
byte entry = 0;            /* open amount at the lender, which is subtracted from the cap */
byte entryUntil = 0;
byte entryClose = 0;
byte message = 0;          /* amount in a grant message in transit */
byte sent = 0;
byte free = 0;             /* unspent at the borrower */
byte freeUntil = 0;
byte reserved = 0;         /* admitted and still refundable */
byte refund = 0;           /* amount in a refund message in transit */
byte closedRefund = 0;
bool ofOld = false;        /* the lender of this grant was replaced by a new home host */

/* The reference bucket, and its value for the case that the open reservation is returned in full. */
short check = BURST;
short checkReturned = BURST;
byte pending = 0;          /* reserved amount that checkReturned has not subtracted */

#define CAP ((inheritedUntil > now) -> (BURST - inherited) : BURST)

#ifdef NO_CAP
#define ROOM BURST
#else
#define ROOM ((CAP > entry) -> (CAP - entry) : 0)
#endif

inline cut() {
	if
	:: level > ROOM -> level = ROOM
	:: else
	fi
}

/* A request that is admitted and used immediately. */
inline admit(n) {
	check = check - n;
	checkReturned = checkReturned - n;
	assert(check >= 0);
	assert(checkReturned >= 0)
}

inline tick() {
	now++;
	check = ((check < BURST) -> check + 1 : BURST);
	checkReturned = ((checkReturned < BURST) -> checkReturned + 1 : BURST);
	if
	:: entry > 0 && now >= entryClose -> entry = 0
	:: else
	fi;
	if
	:: level < ROOM -> level++
	:: else
	fi;
	cut();
#ifdef RATE_LENT
	/* Fault: the borrower's grant is refilled in addition to the lender's level. */
	if
	:: free > 0 && free < HALF -> free++
	:: else
	fi;
#endif
	if
	:: free > 0 && now >= freeUntil -> free = 0
	:: else
	fi
}

active proctype Fleet() {
	byte n;
	do
	/* Time passes. */
	:: now < HORIZON -> atomic { tick() }

	/* The home host admits a request of its own, of any size up to its level. */
	:: level > 0 -> atomic {
		select(n : 1 .. BURST);
		if
		:: n <= level -> level = level - n; admit(n)
		:: else
		fi
	}

	/* The home host issues a grant; the reply may be delayed. */
	:: level > 0 && entry == 0 && message == 0 && free == 0 && reserved == 0 && refund == 0 -> atomic {
		select(n : 1 .. BURST);
		if
#ifdef NO_HALF_RULE
		:: n <= level ->
#else
		:: n <= level && ((inheritedUntil > now) -> inherited : 0) + n <= HALF ->
#endif
			level = level - n;
			entry = n;
			entryUntil = now + TERM;
			entryClose = now + CLOSE;
			message = n;
			sent = now;
			ofOld = false;
			closedRefund = 0
		:: else
		fi
	}

	/* The reply arrives, or is lost. */
	:: message > 0 -> atomic {
#ifdef TERM_FROM_RECEIPT
		freeUntil = now + TERM;
#else
		freeUntil = sent + TERM;
#endif
		free = ((now < freeUntil) -> message : 0);
		message = 0
	}
	:: message > 0 -> message = 0

	/* The borrower admits from its grant: used immediately, or reserved and possibly returned later. */
	:: free > 0 && now < freeUntil -> atomic {
		n = free;
		free = 0;
		admit(n);
		if
		:: entry > 0 && !ofOld -> entry = entry - n /* settled as used */
		:: true                                     /* the settlement is lost or delayed */
		fi
	}
	:: free > 0 && now < freeUntil && reserved == 0 && pending == 0 -> atomic {
		reserved = free;
		pending = free;
		free = 0;
		check = check - reserved;
		assert(check >= 0)
	}

	/* The reservation ends: all of it is returned, or all of it was used. */
	:: reserved > 0 -> atomic {
		refund = reserved;
		reserved = 0;
		/* Nothing was admitted in the end, so checkReturned is the value of the reference bucket. */
		check = checkReturned;
		pending = 0
	}
	:: reserved > 0 -> atomic {
		reserved = 0;
		pending = 0;
		assert(check >= 0);
		checkReturned = check
	}

	/* The borrower returns the unspent amount of its grant. */
	:: free > 0 -> atomic { refund = refund + free; free = 0 }

	/* The refund reaches the lender, or is lost. */
	:: refund > 0 -> atomic {
		if
		:: entry > 0 && !ofOld ->
			n = ((refund < entry) -> refund : entry);
			entry = entry - n;
			level = level + n
#ifdef REFUND_AFTER_CLOSE
		:: entry == 0 || ofOld -> level = level + refund
#endif
		:: else
		fi;
		refund = 0;
		cut()
	}
	:: refund > 0 -> refund = 0

	/* The home host fails and a new one takes over, which does not know the open entries of its predecessor. */
	:: !taken -> atomic {
		taken = true;
		ofOld = true;
		entry = 0;
#ifdef STARTS_FULL
		level = BURST;
#else
		level = 0;
#endif
#ifndef NO_REDUCED_CAP
		inherited = HALF;
		inheritedUntil = now + TERM;
#endif
		cut()
	}

	:: now >= HORIZON -> break
	od
}
