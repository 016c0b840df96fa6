package board

// Reason says why a call was not run or why its outcome is unknown. It is
// returned to the caller and logged.
type Reason string

// Reasons why a call was not run.
const (
	ReasonMalformedRequest    Reason = "malformed-request"
	ReasonNoRoute             Reason = "no-route"
	ReasonRetired             Reason = "retired"
	ReasonQuarantined         Reason = "quarantined"
	ReasonNoServer            Reason = "no-server"
	ReasonDraining            Reason = "draining"
	ReasonBackendDown         Reason = "backend-server-down"
	ReasonOverloaded          Reason = "overloaded"
	ReasonShedByPriority      Reason = "shed-by-priority"
	ReasonExecutorUnreachable Reason = "executor-unreachable"
	ReasonAttemptBudgetSpent  Reason = "attempt-budget-spent"
	ReasonDeadlineBeforeStart Reason = "deadline-before-start"
	ReasonKeyInProgress       Reason = "key-in-progress"
	ReasonKeyConflict         Reason = "key-used-for-another-request"
	ReasonKeyTimeInFuture     Reason = "key-time-in-future"
	ReasonKeyMemoryFull       Reason = "key-memory-full"
	ReasonKeyHomeUnavailable  Reason = "key-home-unavailable"
	ReasonStaleEpoch          Reason = "stale-epoch"
	ReasonWrongIncarnation    Reason = "wrong-incarnation"
	ReasonGrantSealed         Reason = "grant-sealed"
	ReasonNodeStopping        Reason = "node-stopping"
)

// ReasonResponseNotKept means that the call has run and its outcome is recorded,
// but its response was too large to store.
const ReasonResponseNotKept Reason = "response-not-kept"

// Reasons why the outcome of a call is unknown.
const (
	// ReasonKeyRecordLost means that the record of the key may have been lost
	// with the node that had it.
	ReasonKeyRecordLost      Reason = "key-record-lost"
	ReasonKeyExpired         Reason = "key-expired"
	ReasonDeadlineExceeded   Reason = "deadline-exceeded"
	ReasonConnectionLost     Reason = "connection-lost"
	ReasonExecutorLost       Reason = "executor-lost"
	ReasonResponseIncomplete Reason = "response-incomplete"
	ReasonCanceledByCaller   Reason = "canceled-by-caller"
)

// Reasons used only by nodes on the platform, see MeshBoard.
const (
	// ReasonNoConfiguration means that the node has no configuration yet.
	ReasonNoConfiguration Reason = "no-configuration"
	// ReasonUnknownAPIKey means that no customer holds the API key of the request, or
	// that it carries none.
	ReasonUnknownAPIKey Reason = "unknown-api-key"
	// ReasonAPIKeyUnconfirmed means that the API key may have been withdrawn since the
	// node last confirmed its configuration.
	ReasonAPIKeyUnconfirmed Reason = "api-key-unconfirmed"
	// ReasonQuotaExceeded means that the customer has used up its quota.
	ReasonQuotaExceeded Reason = "quota-exceeded"
	// ReasonWarmingUp means that the backend server is cold and gets no more calls now.
	ReasonWarmingUp Reason = "warming-up"
	// ReasonEvacuated means that the failure domain of the backend server is evacuated.
	ReasonEvacuated Reason = "evacuated"
	// ReasonSlowerThanAlternative means that another backend server is expected
	// to respond sooner.
	ReasonSlowerThanAlternative Reason = "slower-than-alternative"
	// ReasonRejectedByServer means that the backend server responded that it did
	// not run the call.
	ReasonRejectedByServer Reason = "rejected-by-server"
	// ReasonAddressOfOtherServer means that another backend server responded at
	// the address.
	ReasonAddressOfOtherServer Reason = "address-of-other-server"
	// ReasonExecutorSilent means that the executor did not accept the call in
	// time.
	ReasonExecutorSilent Reason = "executor-silent"
	// ReasonInternalError means that the node failed unexpectedly while it handled
	// the call.
	ReasonInternalError Reason = "internal-error"
	// ReasonMalformedAnswer means that the response of the backend server was
	// malformed or incomplete.
	ReasonMalformedAnswer Reason = "malformed-answer"
	// ReasonBodyMissing means that the entry did not send the request body after
	// the header.
	ReasonBodyMissing Reason = "body-missing"
	// ReasonBodyMemory means that the node holds too many bytes of request bodies.
	ReasonBodyMemory Reason = "body-memory"
)
