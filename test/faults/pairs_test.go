package faults

import "time"

// Steps at which pairs of faults and defects are injected.
var (
	atArrival, atWaiting, atPrefill, atTransfer, atDecode = generationSteps[0], generationSteps[1], generationSteps[2], generationSteps[3], generationSteps[4]
	atClaim, atDispatch, atRepeat                         = bookingSteps[1], bookingSteps[3], bookingSteps[5]
	atHead, atSwapped, atSome                             = changeSteps[1], changeSteps[2], changeSteps[3]
)

// pairs are combinations of two faults, simultaneous or overlapping, in which the second fault disables what the
// recovery from the first one depends on.
var pairs = []struct {
	step  step
	fault fault
}{
	{atArrival, both(storeDown, homeDies)},
	{atWaiting, both(homeDies, clientLeaves)},
	{atWaiting, both(keyWithdrawn, drained)},
	{atPrefill, both(prefillCrash, homeDies)},
	{atPrefill, both(storeDown, hostDies)},
	{atPrefill, both(clientLeaves, abortsFail)},
	{atTransfer, both(stall, decodeCrash)},
	{atTransfer, both(decodeCrash, prefillCrash)},
	{atTransfer, both(stall, homeDies)},
	{atDecode, both(storeDown, decodeCrash)},
	{atDecode, both(drained, decodeCrash)},
	{atDecode, both(drained, storeDown)},
	{atDecode, both(zonePartitioned, clientLeaves)},
	{atDecode, both(hostPartitioned, decodeCrash)},
	{atDecode, both(keyWithdrawn, zonePartitioned)},
	{atDecode, zonePartitionedLong},
	{atDecode, staggered(hostRestart, hostRestart, time.Second)},
	{atDecode, staggered(decodeCrash, decodeCrash, 200*time.Millisecond)},
	{atDecode, staggered(storeDown, hostDies, 3*time.Second)},
	{atDecode, staggered(homeDies, hostPartitioned, 2*time.Second)},
	{atClaim, both(answersLost, hostDies)},
	{atClaim, both(storeSlow, clientLeaves)},
	{atClaim, both(answersLost, hostRestart)},
	{atDispatch, both(effectLost, storeDown)},
	{atDispatch, both(effectLost, hostRestart)},
	{atDispatch, both(storeDown, hostDies)},
	{atDispatch, both(storeDown, clientLeaves)},
	{atDispatch, both(drained, storeSlow)},
	{atDispatch, staggered(hostRestart, homeDies, time.Second)},
	{atRepeat, both(hostDies, storeSlow)},
	{atRepeat, both(zonePartitioned, effectLost)},
	{atHead, both(answersLost, hostDies)},
	{atHead, both(answersLost, race)},
	{atHead, both(storeSlow, race)},
	{atSwapped, both(hostDies, zonePartitioned)},
	{atSwapped, both(storeDown, hostDies)},
	{atSwapped, both(watchGap, zoneLinkCut)},
	{atSwapped, staggered(zonePartitioned, hostRestart, 4*time.Second)},
	{atSome, both(storeDown, hostRestart)},
	{atSome, staggered(storeDown, drained, 2*time.Second)},
}
