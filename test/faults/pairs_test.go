package faults

import "time"

// Steps by name.
var (
	atArrival, atWaiting, atPrefill, atTransfer, atDecode = generationSteps[0], generationSteps[1], generationSteps[2], generationSteps[3], generationSteps[4]
	atClaim, atDispatch, atRepeat                         = bookingSteps[1], bookingSteps[3], bookingSteps[5]
	atHead, atSwapped, atSome                             = changeSteps[1], changeSteps[2], changeSteps[3]
)

// pairs are faults that injectFault together, or one during the other. They were chosen where the second fault takes
// away what the first one's recovery relies on.
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
	{atDecode, both(zoneCut, clientLeaves)},
	{atDecode, both(hostCut, decodeCrash)},
	{atDecode, both(keyWithdrawn, zoneCut)},
	{atDecode, zoneGone},
	{atDecode, twice(hostRestart, hostRestart, time.Second)},
	{atDecode, twice(decodeCrash, decodeCrash, 200*time.Millisecond)},
	{atDecode, twice(storeDown, hostDies, 3*time.Second)},
	{atDecode, twice(homeDies, hostCut, 2*time.Second)},
	{atClaim, both(answersLost, hostDies)},
	{atClaim, both(storeSlow, clientLeaves)},
	{atClaim, both(answersLost, hostRestart)},
	{atDispatch, both(effectLost, storeDown)},
	{atDispatch, both(effectLost, hostRestart)},
	{atDispatch, both(storeDown, hostDies)},
	{atDispatch, both(storeDown, clientLeaves)},
	{atDispatch, both(drained, storeSlow)},
	{atDispatch, twice(hostRestart, homeDies, time.Second)},
	{atRepeat, both(hostDies, storeSlow)},
	{atRepeat, both(zoneCut, effectLost)},
	{atHead, both(answersLost, hostDies)},
	{atHead, both(answersLost, race)},
	{atHead, both(storeSlow, race)},
	{atSwapped, both(hostDies, zoneCut)},
	{atSwapped, both(storeDown, hostDies)},
	{atSwapped, both(watchGap, zoneLink)},
	{atSwapped, twice(zoneCut, hostRestart, 4*time.Second)},
	{atSome, both(storeDown, hostRestart)},
	{atSome, twice(storeDown, drained, 2*time.Second)},
}
