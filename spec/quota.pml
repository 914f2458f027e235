/*
 * Token bucket of one zone share: refill, grants, settlement, closing, takeover by a new home host.
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
 * Time is a counter of ticks; one tick refills one token, so a window of w ticks may admit BURST + w. The
 * bound is checked by a bucket that starts full, refills with every tick and loses what is admitted, at the
 * time of admission. A reservation is admitted whole; what it returns is given back to the checking bucket as
 * if it had never been admitted, which is the final settled amount at admission time.
 * Clocks run alike here; the exploration in internal/quota covers clock rates.
 */

#define BURST   4
#define HALF    2
#define TERM    4   /* ticks in which a borrower may admit from a grant */
#define CLOSE   5   /* ticks after which a silent entry counts as used */
#define HORIZON 13  /* ticks explored */

byte now = 0;
byte level = 0;            /* of the home host */
byte inherited = 0;        /* unspent amounts of the predecessor's grants, at most */
byte inheritedUntil = 0;
bool taken = false;        /* one takeover is explored */

/* One grant: the lender's entry and the borrower's copy. */
byte entry = 0;            /* open amount at the lender; it is in the cap sum */
byte entryUntil = 0;
byte entryClose = 0;
byte message = 0;          /* amount in a grant that is on its way */
byte sent = 0;
byte free = 0;             /* unspent at the borrower */
byte freeUntil = 0;
byte reserved = 0;         /* admitted and still refundable */
byte refund = 0;           /* on its way back */
byte closedRefund = 0;
bool ofOld = false;        /* the lender of this grant is gone */

/* The checking bucket, and the same for the case that the running reservation is returned whole. */
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

/* A request that is admitted and used at once. */
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
	/* The borrower's grant refills beside the lender's level. */
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

	/* The home host admits its own request of any size that it has. */
	:: level > 0 -> atomic {
		select(n : 1 .. BURST);
		if
		:: n <= level -> level = level - n; admit(n)
		:: else
		fi
	}

	/* The home host gives a grant; its answer may be late. */
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

	/* The answer arrives, or is lost. */
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

	/* The borrower admits from its grant: used at once, or reserved and perhaps returned later. */
	:: free > 0 && now < freeUntil -> atomic {
		n = free;
		free = 0;
		admit(n);
		if
		:: entry > 0 && !ofOld -> entry = entry - n /* settled as used */
		:: true                                     /* the settlement is lost or late */
		fi
	}
	:: free > 0 && now < freeUntil && reserved == 0 && pending == 0 -> atomic {
		reserved = free;
		pending = free;
		free = 0;
		check = check - reserved;
		assert(check >= 0)
	}

	/* The reservation ends: all is returned, or all was used. */
	:: reserved > 0 -> atomic {
		refund = reserved;
		reserved = 0;
		/* It was never admitted in the end, so the other bucket is the true one. */
		check = checkReturned;
		pending = 0
	}
	:: reserved > 0 -> atomic {
		reserved = 0;
		pending = 0;
		assert(check >= 0);
		checkReturned = check
	}

	/* The borrower returns what it has not admitted. */
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

	/* The home host is gone and a new one takes over. Its own open entries are unknown to the new one. */
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
