package membership

// policy switches single rules off. Only tests set it, to show that the exploration finds the violation that the
// rule prevents.
type policy struct {
	// anyZonePeer lets one zone peer suffice for Z, and one zone peer's report for condition b.
	anyZonePeer bool
	// anySetSize drops the limit of condition b to half of the zone.
	anySetSize bool
	// trustHostList takes the platform's host list as proof.
	trustHostList bool
	// unreadableIsLapsed counts a lease as lapsed while the store cannot be read.
	unreadableIsLapsed bool
	// shortLapse drops the demand of condition c that the lapse lasts the isolation limit.
	shortLapse bool
	// ignoreLease drops the demand that the lease has lapsed.
	ignoreLease bool
	// noPromise makes reports without promises.
	noPromise bool
	// readEndsPromise ends a promise at any later read of the epoch, without a new session.
	readEndsPromise bool
	// cachedAuthority keeps the answer of CanAdmit from the last event.
	cachedAuthority bool
	// contactFromReceipt counts contact from the arrival of the reply.
	contactFromReceipt bool
	// ungatedEpochs proposes epochs before a majority of the previous hosts know the present one.
	ungatedEpochs bool
	// presentOnly counts reports against the present hosts only.
	presentOnly bool
	// staleZone applies condition b to a host that may not know the present hosts of its zone.
	staleZone bool
	// renewalAlone counts the lease as valid without a read of the epoch after the renewal.
	renewalAlone bool
	// anyAcquisition lets a delayed acquisition of a lease register although a later one has succeeded.
	anyAcquisition bool
	// noClockMargin runs the machines without a margin for differences in clock rate.
	noClockMargin bool
}
