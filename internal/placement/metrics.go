package placement

// Metric names and the values of their reason label.
const (
	metricPlaced    = "placement_placed_total"
	metricRefusals  = "placement_refusals_total"
	metricFallbacks = "placement_fallbacks_total"
	metricRetries   = "placement_retries_total"
	metricReleased  = "placement_released_total"
	metricLate      = "placement_late_predictions_total"
	metricDenied    = "placement_reservations_denied_total"
	metricFailures  = "placement_stage_failures_total"
	metricResyncs   = "placement_cache_resyncs_total"
	metricPollFails = "placement_poll_failures_total"

	reasonNoServer        = "no_server"
	reasonEvacuated       = "zone_evacuated"
	reasonDeadline        = "deadline"
	reasonQueueFull       = "queue_full"
	reasonCanceled        = "canceled"
	reasonHomeUnreachable = "home_silent"
	reasonNotHome         = "not_home"
	reasonOwnerGone       = "owner_gone"
	reasonHostExcluded    = "host_excluded"
	reasonUnknownOwner    = "unknown_holder"
	reasonNotListed       = "not_listed"
)
