package membership

// policy disables or weakens single rules of the protocol. Only tests set it, to show that the exploration detects the
// violation that each rule prevents.
type policy struct {
	// anyZonePeer lets contact with one zone peer satisfy the zone condition, and the report of one zone peer satisfy
	// the zone's part of fencing.
	anyZonePeer bool
	// anySetSize allows fencing more than half of a zone at once. Hosts that are partitioned together can meet the zone
	// condition through each other.
	anySetSize bool
	// trustHostList excludes hosts because the platform's host list does not show them as live.
	trustHostList bool
	// unreadableIsExpired treats leases as expired while the store cannot be read.
	unreadableIsExpired bool
	// anyExpiryAge allows isolation although the lease has not been expired for the isolation limit.
	anyExpiryAge bool
	// ignoreLease allows exclusion of a host whose lease has not expired.
	ignoreLease bool
	// keepContact reports hosts as unreachable although replies to them still count as contact.
	keepContact bool
	// readRestoresContact counts replies to a reported host as contact again after any later read of the epoch, without a
	// new session.
	readRestoresContact bool
	// cachedAuthority lets CheckAuthority return the result that was computed at the last event.
	cachedAuthority bool
	// contactFromReceipt starts the contact window at the receipt of the reply instead of the send time of the request.
	contactFromReceipt bool
	// ungatedEpochs proposes an epoch before a majority of the previous epoch's hosts have the current one.
	ungatedEpochs bool
	// currentHostsOnly requires reports by a majority of the current epoch's hosts only, not of earlier epochs' hosts.
	currentHostsOnly bool
	// ignoreZoneChanges allows fencing a host that may not have the current epoch's hosts of its zone.
	ignoreZoneChanges bool
	// renewalWithoutRead treats a renewed lease as valid without a read of the epoch after the renewal.
	renewalWithoutRead bool
	// anyAcquisition lets a delayed lease acquisition replace the registration of a later one.
	anyAcquisition bool
	// noClockMargin runs the machines with a clock margin of zero.
	noClockMargin bool
}
